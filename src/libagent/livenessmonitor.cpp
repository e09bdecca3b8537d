#include "libagent/livenessmonitor.h"

#include <algorithm>

namespace fireflytrestle {

void LivenessMonitor::OnReceived(TimePoint now) {
  m_last_received = now;
  m_ping_sent.reset();
}

void LivenessMonitor::OnPing(TimePoint now) {
  if (!m_ping_sent) {
    m_ping_sent = now;
  }
}

LivenessMonitor::Status LivenessMonitor::Check(TimePoint now,
                                               TimePoint resumed) const {
  if (m_ping_sent) {
    return now >= std::max(*m_ping_sent, resumed) + kPongTimeout
               ? Status::kSilent
               : Status::kHealthy;
  }
  return now >= m_last_received + m_quiet_threshold ? Status::kPingDue
                                                    : Status::kHealthy;
}

TimePoint LivenessMonitor::due() const {
  return m_ping_sent ? *m_ping_sent + kPongTimeout
                     : m_last_received + m_quiet_threshold;
}

}  // namespace fireflytrestle
