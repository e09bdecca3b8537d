#include "libflow/agentfailuredetector.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

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
  for (const auto& [address, agent] : agents.all()) {
    if (IsExpected(*agent)) {
      ++expected;
      fresh += TimeSinceReport(*agent, now) < SilenceTimeoutFor(*agent) ? 1 : 0;
    }
  }
  m_quorum = fresh > 0 && 2 * fresh >= expected;
  std::vector<AgentPeerPtr> silenced;
  if (!IsReliable(now)) {
    return silenced;
  }
  for (const auto& [address, agent] : agents.all()) {
    if (!IsExpected(*agent)) {
      continue;
    }
    const bool stopping = agent->phase() == AgentPhase::kStopping;
    if (TimeSinceReport(*agent, now) >=
        (stopping ? kStopGrace : SilenceTimeoutFor(*agent))) {
      agent->set_silent(true);
      silenced.push_back(agent);
    }
  }
  return silenced;
}

std::chrono::milliseconds AgentFailureDetector::SilenceTimeoutFor(
    const AgentPeer& agent) {
  return agent.IsReporting() ? kSilenceTimeout : kRequestTimeout;
}

bool AgentFailureDetector::IsReliable(TimePoint now) const {
  return m_quorum && now - m_resumed >= kSilenceTimeout;
}

}  // namespace fireflytrestle
