#include "librouting/targethealth.h"

namespace fireflytrestle {

void TargetHealth::OnOpenSent(TimePoint now, Duration probe_interval) {
  if (IsAnswerOverdue(now) || m_unanswered == 0) {
    m_next_probe = now + probe_interval;
  }
  ExpectAnswer(now);
}

void TargetHealth::ExpectAnswer(TimePoint now) {
  if (m_unanswered == kSuspectAfterUnanswered) {
    return;
  }
  ++m_unanswered;
  m_suspect_from = now + kAnswerTimeout;
  if (m_unanswered == 1) {
    m_overdue_from = m_suspect_from;
  }
}

}  // namespace fireflytrestle
