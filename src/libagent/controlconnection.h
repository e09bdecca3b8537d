#ifndef FIREFLYTRESTLE_LIBAGENT_CONTROLCONNECTION_H_
#define FIREFLYTRESTLE_LIBAGENT_CONTROLCONNECTION_H_

#include <cstdint>
#include <optional>

#include "libagent/upstreamconnection.h"

namespace fireflytrestle {

/// \brief State of the control connection to the upstream, which carries no
/// requests.
///
/// Its pings detect whether the upstream is reachable, has restarted or is
/// draining. It also carries cancels for requests whose own connection is lost.
class ControlConnection {
 public:
  /// Short enough to detect a drain or restart in time to stop new work within
  /// 3 s.
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
  /// Time since which there has been no working connection; nothing while there
  /// is one.
  std::optional<TimePoint> down_since() const { return m_down_since; }
  /// Whether the last attempt to open a connection failed.
  bool is_failing() const { return m_failing; }

  /// Whether there is no connection and the retry interval has passed.
  bool NeedsOpen(TimePoint now) const {
    return !m_connection && now >= m_retry_at;
  }
  void OnRequested(ConnectionId id, TimePoint now);
  /// Called for each hello and pong. Marks the connection as working and stores
  /// the identity of the upstream process that the message contains.
  void OnStartIdentity(std::uint64_t start_identity, TimePoint now);
  /// Called for each message received on the connection.
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
