#include "libflow/agenttable.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// An upstream that the view does not list may still hold flows, which live up
/// to a minute. Its agent is kept for this long after its last report, and
/// after it was last listed.
constexpr std::chrono::seconds kUnlistedAgentRetention{60};

}  // namespace

std::vector<AgentPeerPtr> AgentTable::Install(const SiteView& view,
                                              TimePoint now) {
  std::vector<AgentPeerPtr> added;
  for (auto& [address, agent] : m_agents) {
    if (!view.upstreams.contains(address.ipv4)) {
      agent->OnView(nullptr, view, now);
    }
  }
  for (const auto& [ipv4, entry] : view.upstreams) {
    const SocketAddress address{ipv4, m_agent_port};
    AgentPeerPtr& agent = m_agents[address];
    if (!agent) {
      agent = std::make_shared<AgentPeer>(address);
      added.push_back(agent);
    }
    agent->OnView(&entry, view, now);
  }
  m_unconfigured_upstreams = view.unconfigured_upstreams;
  Prune(now);
  RebuildServiceIndex();
  return added;
}

AgentPeerPtr AgentTable::OnStatus(const SocketAddress& address,
                                  const AgentStatus& status,
                                  TimePoint now) {
  AgentPeerPtr& agent = m_agents[address];
  const bool added = !agent;
  if (added) {
    agent = std::make_shared<AgentPeer>(address);
  }
  const std::string service = agent->service();
  agent->OnStatus(status, now);
  AgentPeerPtr found = agent;
  if (added || service != found->service()) {
    RebuildServiceIndex();
  }
  return found;
}

void AgentTable::Prune(TimePoint now) {
  std::erase_if(m_agents, [&](const auto& item) {
    const AgentPeer& agent = *item.second;
    return !agent.listed() &&
           (!agent.last_report() ||
            now - std::max(*agent.last_report(), agent.last_listed()) >
                kUnlistedAgentRetention);
  });
}

AgentPeerPtr AgentTable::Find(const SocketAddress& address) const {
  const auto position = m_agents.find(address);
  return position == m_agents.end() ? nullptr : position->second;
}

const std::vector<AgentPeerPtr>& AgentTable::ForService(
    const std::string& service) const {
  static const std::vector<AgentPeerPtr> none;
  const auto position = m_by_service.find(service);
  return position == m_by_service.end() ? none : position->second;
}

bool AgentTable::LacksUnconfiguredAgent() const {
  return std::any_of(
      m_unconfigured_upstreams.begin(), m_unconfigured_upstreams.end(),
      [&](std::uint32_t ipv4) {
        return !m_agents.contains(SocketAddress{ipv4, m_agent_port});
      });
}

void AgentTable::RebuildServiceIndex() {
  m_by_service.clear();
  for (const auto& [address, agent] : m_agents) {
    m_by_service[agent->service()].push_back(agent);
  }
  for (auto& [service, agents] : m_by_service) {
    std::sort(agents.begin(), agents.end(),
              [](const AgentPeerPtr& a, const AgentPeerPtr& b) {
                return a->address() < b->address();
              });
  }
}

}  // namespace fireflytrestle
