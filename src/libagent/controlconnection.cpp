#include "libagent/controlconnection.h"

#include <algorithm>

namespace fireflytrestle {

void ControlConnection::OnRequested(ConnectionId id, TimePoint now) {
  m_connection = UpstreamConnection{
      .id = id,
      .requested = now,
      .monitor = LivenessMonitor(kPingInterval, now),
  };
}

void ControlConnection::OnStartIdentity(std::uint64_t start_identity,
                                        TimePoint now) {
  m_connection->hello_received = true;
  m_connection->start_identity = start_identity;
  m_down_since.reset();
  m_failing = false;
  OnReceived(now);
}

void ControlConnection::OnReceived(TimePoint now) {
  m_connection->monitor.OnReceived(now);
}

void ControlConnection::OnLost(TimePoint now) {
  if (!m_down_since) {
    m_down_since = now;
  }
  m_failing = !is_ready();
  m_retry_at = m_failing ? now + kRetryInterval : now;
  m_connection.reset();
}

LivenessMonitor::Status ControlConnection::Check(TimePoint now,
                                                 TimePoint resumed) const {
  if (!m_connection) {
    return LivenessMonitor::Status::kHealthy;
  }
  if (m_connection->hello_received) {
    return m_connection->monitor.Check(now, resumed);
  }
  return now >= std::max(m_connection->requested, resumed) + kOpenTimeout
             ? LivenessMonitor::Status::kSilent
             : LivenessMonitor::Status::kHealthy;
}

}  // namespace fireflytrestle
