#include "libflow/agentsubscriptions.h"

#include <algorithm>
#include <tuple>

#include "libflow/agentfailuredetector.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Limit on the size of a subset that contains agents which do not report and
/// therefore do not count.
constexpr std::size_t kMaxSubsetSize =
    2 * AgentSubscriptions::kAgentsPerService;

std::uint64_t HashAgent(std::uint64_t seed, const AgentPeer& agent) {
  FlowTuple tuple;
  tuple.caller.ipv4 = static_cast<std::uint32_t>(seed >> 32U);
  tuple.caller.port = static_cast<std::uint16_t>(seed);
  tuple.route = agent.address();
  return HashTuple(tuple);
}

}  // namespace

void AgentSubscriptions::OnTick(const AgentTable& agents, TimePoint now) {
  if (now >= m_next_update) {
    Update(agents, now);
  }
}

void AgentSubscriptions::Update(const AgentTable& agents, TimePoint now) {
  m_next_update = now + kUpdateInterval;
  m_by_service.clear();
  std::unordered_map<const AgentPeer*, milliseconds> selected;
  for (const auto& [service, members] : agents.by_service()) {
    std::vector<AgentPeerPtr> subset = Select(members);
    const milliseconds remote = RemoteInterval(subset);
    for (const AgentPeerPtr& agent : subset) {
      selected[agent.get()] = agent->zone() == m_zone
                                  ? AgentFailureDetector::kReportInterval
                                  : remote;
    }
    m_by_service.emplace(service, std::move(subset));
  }
  for (const auto& [address, agent] : agents.all()) {
    const auto position = selected.find(agent.get());
    if (agent->IsInUse(now)) {
      agent->RequestReports(AgentFailureDetector::kReportInterval, now);
    } else if (position != selected.end()) {
      agent->RequestReports(position->second, now);
    } else {
      agent->CancelReports();
    }
  }
}

milliseconds AgentSubscriptions::RemoteInterval(
    const std::vector<AgentPeerPtr>& subset) const {
  const auto own_zone =
      std::count_if(subset.begin(), subset.end(), [&](const auto& agent) {
        return agent->zone() == m_zone && agent->IsCandidate() &&
               !agent->silent();
      });
  return static_cast<std::size_t>(own_zone) >= kMinOwnZoneAgents
             ? kRemoteReportInterval
             : AgentFailureDetector::kReportInterval;
}

std::vector<AgentPeerPtr> AgentSubscriptions::Select(
    const std::vector<AgentPeerPtr>& agents) const {
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  std::vector<std::pair<Rank, AgentPeerPtr>> ranked;
  ranked.reserve(agents.size());
  for (const AgentPeerPtr& agent : agents) {
    ranked.emplace_back(Rank{!agent->IsCandidate(), agent->zone() != m_zone,
                             HashAgent(m_seed, *agent)},
                        agent);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<AgentPeerPtr> subset;
  std::vector<AgentPeerPtr> skipped;
  std::size_t reporting = 0;
  std::size_t own_zone = 0;
  const auto add = [&](const AgentPeerPtr& agent) {
    if (reporting >= kAgentsPerService || subset.size() >= kMaxSubsetSize) {
      return;
    }
    subset.push_back(agent);
    // An agent that does not report at present stays in the subset, so that
    // heartbeats reach it as soon as it runs again, but is replaced.
    if (agent->last_report() && !agent->silent()) {
      ++reporting;
      own_zone += agent->zone() == m_zone ? 1 : 0;
    }
  };
  for (const auto& [rank, agent] : ranked) {
    if (agent->zone() == m_zone && own_zone >= kOwnZoneAgents) {
      skipped.push_back(agent);
    } else {
      add(agent);
    }
  }
  for (const AgentPeerPtr& agent : skipped) {
    add(agent);
  }
  return subset;
}

const std::vector<AgentPeerPtr>& AgentSubscriptions::ForService(
    const std::string& service) const {
  static const std::vector<AgentPeerPtr> none;
  const auto position = m_by_service.find(service);
  return position == m_by_service.end() ? none : position->second;
}

}  // namespace fireflytrestle
