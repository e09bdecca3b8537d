#include "libagent/partwindow.h"

#include <algorithm>

namespace fireflytrestle {

void PartWindow::TakeNew(std::uint32_t end,
                         TimePoint now,
                         std::vector<std::uint32_t>* indices) {
  const std::uint32_t limit = std::min(end, m_acknowledged + kSize);
  if (m_next < limit && m_due == TimePoint::max()) {
    m_due = now + m_resend_timeout;
  }
  for (; m_next < limit; ++m_next) {
    indices->push_back(m_next);
  }
}

void PartWindow::OnAck(std::uint32_t next_part,
                       std::uint32_t missing,
                       TimePoint now,
                       std::vector<std::uint32_t>* indices) {
  if (next_part > m_next || next_part < m_acknowledged) {
    return;
  }
  if (next_part > m_acknowledged) {
    m_acknowledged = next_part;
    m_resend_timeout = kInitialResendTimeout;
    m_due = m_acknowledged < m_next ? now + m_resend_timeout : TimePoint::max();
  }
  if (missing == 0 || now < m_last_resend + kResendInterval) {
    return;
  }
  m_last_resend = now;
  for (std::uint32_t i = 0; i < kSize && next_part + i < m_next; ++i) {
    if ((missing >> i & 1U) != 0) {
      indices->push_back(next_part + i);
    }
  }
}

void PartWindow::TakeOverdue(TimePoint now,
                             std::vector<std::uint32_t>* indices) {
  if (now < m_due) {
    return;
  }
  const std::uint32_t end =
      std::min(m_next, m_acknowledged + kMaxPartsPerTimeout);
  for (std::uint32_t index = m_acknowledged; index < end; ++index) {
    indices->push_back(index);
  }
  m_resend_timeout = std::min(m_resend_timeout * 2, kMaxResendTimeout);
  m_due = now + m_resend_timeout;
}

}  // namespace fireflytrestle
