#include "libflow/flowknowledge.h"

#include <algorithm>

#include "libflow/nodemessage.h"

namespace fireflytrestle {

FlowKnowledge::FlowKnowledge(bool is_first_run,
                             std::chrono::milliseconds flow_lifetime,
                             WallTime started,
                             TimePoint now)
    : m_is_upstream_new(is_first_run),
      m_flow_lifetime(flow_lifetime),
      m_wall_started(started),
      m_started(now) {}

bool FlowKnowledge::OnUpstreamStarted(WallTime upstream_started) {
  if (m_is_upstream_new || m_had_earlier_run ||
      upstream_started == WallTime{} || m_wall_started == WallTime{}) {
    return false;
  }
  m_is_upstream_new = upstream_started + kMinPreviousRun > m_wall_started;
  return m_is_upstream_new;
}

std::chrono::milliseconds FlowKnowledge::MaxFlowAge(TimePoint now) const {
  if (!m_is_upstream_new) {
    return m_flow_lifetime;
  }
  const auto run = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - m_started + kMinPreviousRun);
  return std::min(run, m_flow_lifetime);
}

void FlowKnowledge::OnHandover(const FlowHandover& handover) {
  const bool is_of_earlier_run = handover.incarnation != Incarnation{};
  m_has_handover |= is_of_earlier_run;
  if (is_of_earlier_run && !handover.flows.empty()) {
    // The clock of the instance was stepped between the starts.
    m_had_earlier_run = true;
    m_is_upstream_new = false;
  }
  if (handover.incarnation != m_incarnation || handover.round > m_round) {
    m_incarnation = handover.incarnation;
    m_round = handover.round;
    m_parts.clear();
  }
  if (handover.round != m_round) {
    return;
  }
  m_parts.insert(handover.part);
  m_is_handover_complete |=
      handover.is_complete && m_parts.size() == handover.parts;
}

bool FlowKnowledge::IsComplete(TimePoint now) const {
  return m_is_upstream_new || m_is_handover_complete ||
         now - m_started >= m_flow_lifetime;
}

bool FlowKnowledge::NeedsHandover(TimePoint now) const {
  return !m_is_upstream_new && !m_is_handover_complete && !m_has_handover &&
         now - m_started < kRecoveryTime;
}

}  // namespace fireflytrestle
