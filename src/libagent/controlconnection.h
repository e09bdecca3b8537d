#ifndef FIREFLYTRESTLE_LIBAGENT_CONTROLCONNECTION_H_
#define FIREFLYTRESTLE_LIBAGENT_CONTROLCONNECTION_H_

#include <cstdint>
#include <optional>

#include "libagent/upstreamconnection.h"

namespace fireflytrestle {

/// \brief State of the one connection that carries no request: it tells at any
/// time whether the upstream is there, which start of it, and whether it is
/// draining, and carries cancels for requests whose own connection is lost.
class ControlConnection {
 public:
  /// Steady interval of pings: finds a drain or restart early enough to keep
  /// new work off within 3 s.
  static constexpr std::chrono::milliseconds kPingInterval{500};
  static constexpr std::chrono::milliseconds kRetryInterval{250};
  static constexpr std::chrono::milliseconds kOpenTimeout{2000};

  explicit ControlConnection(TimePoint now)
      : m_down_since(now), m_retry_at(now) {}

  const std::optional<UpstreamConnection>& connection() const {
    return m_connection;
  }
  bool Is(ConnectionId id) const {
    return m_connection && m_connection->id == id;
  }
  bool is_ready() const { return m_connection && m_connection->hello_received; }
  /// Since when there is no working connection; nothing while there is one.
  std::optional<TimePoint> down_since() const { return m_down_since; }
  /// Whether the last attempt to open a connection failed.
  bool is_failing() const { return m_failing; }

  /// Whether it is time to open a connection.
  bool NeedsOpen(TimePoint now) const {
    return !m_connection && now >= m_retry_at;
  }
  void OnRequested(ConnectionId id, TimePoint now);
  void OnStartIdentity(std::uint64_t start_identity, TimePoint now);
  /// Any message has come.
  void OnReceived(TimePoint now);
  void OnPing(TimePoint now) { m_connection->monitor.OnPing(now); }
  void OnLost(TimePoint now);

  LivenessMonitor::Status Check(TimePoint now, TimePoint resumed) const;

 private:
  std::optional<UpstreamConnection> m_connection;
  bool m_failing = false;
  std::optional<TimePoint> m_down_since;
  TimePoint m_retry_at;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_CONTROLCONNECTION_H_
