#include "librouting/targetload.h"

namespace fireflytrestle {

void TargetLoad::OnReport(std::uint32_t open_flows, TimePoint now) {
  m_open_flows = open_flows;
  m_reported = true;
  m_reported_at = now;
}

void TargetLoad::OnOpenSent(TimePoint now) {
  const Duration age = now - m_interval_begin;
  if (age >= kUnansweredExpiryInterval) {
    m_unanswered_earlier =
        age < 2 * kUnansweredExpiryInterval ? m_unanswered_recent : 0;
    m_unanswered_recent = 0;
    m_interval_begin = now;
  }
  ++m_unanswered_recent;
}

void TargetLoad::OnOpenAnswered() {
  if (m_unanswered_earlier > 0) {
    --m_unanswered_earlier;
  } else if (m_unanswered_recent > 0) {
    --m_unanswered_recent;
  }
}

std::uint32_t TargetLoad::opens_under_way(TimePoint now) const {
  const Duration age = now - m_interval_begin;
  if (age >= 2 * kUnansweredExpiryInterval) {
    return 0;
  }
  return age >= kUnansweredExpiryInterval
             ? m_unanswered_recent
             : m_unanswered_recent + m_unanswered_earlier;
}

}  // namespace fireflytrestle
