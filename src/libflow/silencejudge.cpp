#include "libflow/silencejudge.h"

namespace fireflytrestle {

namespace {

Duration SilenceOf(const AgentPeer& agent, TimePoint now) {
  return now - *agent.heard();
}

}  // namespace

std::vector<AgentPeerPtr> SilenceJudge::OnTick(const AgentTable& agents,
                                               TimePoint now) {
  if (m_last_tick != TimePoint{} && now - m_last_tick > kPauseGap) {
    m_resumed = now;
  }
  m_last_tick = now;
  std::size_t heard = 0;
  std::size_t fresh = 0;
  for (const auto& [address, agent] : agents.all()) {
    if (agent->heard() && !agent->silent()) {
      ++heard;
      fresh += SilenceOf(*agent, now) < kSilence ? 1 : 0;
    }
  }
  m_quorum = fresh > 0 && 2 * fresh >= heard;
  std::vector<AgentPeerPtr> silenced;
  if (!IsTrusted(now)) {
    return silenced;
  }
  for (const auto& [address, agent] : agents.all()) {
    if (!agent->heard() || agent->silent()) {
      continue;
    }
    const bool stopping = agent->phase() == AgentPhase::kStopping;
    if (SilenceOf(*agent, now) >= (stopping ? kStopGrace : kSilence)) {
      agent->set_silent(true);
      silenced.push_back(agent);
    }
  }
  return silenced;
}

bool SilenceJudge::IsTrusted(TimePoint now) const {
  return m_quorum && now - m_resumed >= kSilence;
}

}  // namespace fireflytrestle
