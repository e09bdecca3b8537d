#include "libflow/agentfailuredetector.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Of the agents that report every 500 ms, two thirds report within
/// kSilenceTimeout; half of these have to.
constexpr std::size_t kRemoteQuorumDivisor = 3;

/// Whether reports of the agent are due: it has reported before, and reports
/// are wanted.
bool IsExpected(const AgentPeer& agent) {
  return agent.last_report() && agent.reports_wanted() && !agent.silent();
}

/// Returns how long ago the agent last reported, or was first asked for reports
/// if it has not reported since.
Duration TimeSinceReport(const AgentPeer& agent, TimePoint now) {
  return now - std::max(*agent.last_report(), agent.reports_wanted_since());
}

}  // namespace

std::vector<AgentPeerPtr> AgentFailureDetector::OnTick(const AgentTable& agents,
                                                       TimePoint now) {
  if (m_last_tick != TimePoint{} && now - m_last_tick > kPauseThreshold) {
    m_resumed = now;
  }
  m_last_tick = now;
  std::size_t expected = 0;
  std::size_t fresh = 0;
  std::size_t remote = 0;
  std::size_t fresh_remote = 0;
  for (const auto& [address, agent] : agents.all()) {
    if (!IsExpected(*agent)) {
      continue;
    }
    const Duration age = TimeSinceReport(*agent, now);
    if (agent->wanted_interval() > kReportInterval) {
      ++remote;
      fresh_remote += age < kSilenceTimeout ? 1 : 0;
    } else {
      ++expected;
      fresh += age < SilenceTimeoutFor(*agent) ? 1 : 0;
    }
  }
  // The infrequent reports show that this process is not cut off if all agents
  // that report frequently are lost together.
  m_quorum =
      (fresh > 0 && 2 * fresh >= expected) ||
      (fresh_remote > 0 && kRemoteQuorumDivisor * fresh_remote >= remote);
  std::vector<AgentPeerPtr> silenced;
  m_overdue.clear();
  const bool is_reliable = IsReliable(now);
  for (const auto& [address, agent] : agents.all()) {
    if (!is_reliable) {
      agent->ClearQueries();
      continue;
    }
    if (!IsExpected(*agent)) {
      continue;
    }
    const bool stopping = agent->phase() == AgentPhase::kStopping;
    const milliseconds timeout =
        stopping ? kStopGrace : SilenceTimeoutFor(*agent);
    const Duration age = TimeSinceReport(*agent, now);
    if (age < timeout - kQueryTime || now - agent->last_query() < kAnswerTime) {
      continue;
    }
    if (age >= timeout && agent->unanswered_queries() >= kMinQueries) {
      agent->set_silent(true);
      silenced.push_back(agent);
    } else {
      agent->OnQueried(now);
      m_overdue.push_back(agent);
    }
  }
  return silenced;
}

milliseconds AgentFailureDetector::SilenceTimeoutFor(const AgentPeer& agent) {
  return agent.IsReporting()
             ? agent.wanted_interval() * kMissedReports + kDelayAllowance
             : kRequestTimeout;
}

bool AgentFailureDetector::IsReliable(TimePoint now) const {
  return m_quorum && now - m_resumed >= kSilenceTimeout;
}

}  // namespace fireflytrestle
