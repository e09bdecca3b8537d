#include "libflow/agentfailuredetector.h"

namespace fireflytrestle {

namespace {

Duration TimeSinceReport(const AgentPeer& agent, TimePoint now) {
  return now - *agent.last_report();
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
    if (agent->last_report() && !agent->silent()) {
      ++expected;
      fresh += TimeSinceReport(*agent, now) < kSilenceTimeout ? 1 : 0;
    }
  }
  m_quorum = fresh > 0 && 2 * fresh >= expected;
  std::vector<AgentPeerPtr> silenced;
  if (!IsReliable(now)) {
    return silenced;
  }
  for (const auto& [address, agent] : agents.all()) {
    if (!agent->last_report() || agent->silent()) {
      continue;
    }
    const bool stopping = agent->phase() == AgentPhase::kStopping;
    if (TimeSinceReport(*agent, now) >=
        (stopping ? kStopGrace : kSilenceTimeout)) {
      agent->set_silent(true);
      silenced.push_back(agent);
    }
  }
  return silenced;
}

bool AgentFailureDetector::IsReliable(TimePoint now) const {
  return m_quorum && now - m_resumed >= kSilenceTimeout;
}

}  // namespace fireflytrestle
