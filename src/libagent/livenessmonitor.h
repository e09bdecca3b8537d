#ifndef FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_
#define FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_

#include <optional>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Detects connections that are still open but deliver no data.
///
/// A device on the path can lose the state of a connection without closing it,
/// so only received data proves that the connection works.
class LivenessMonitor {
 public:
  /// Time without data after which a connection of a flow is pinged.
  static constexpr std::chrono::milliseconds kQuietThreshold{2000};
  static constexpr std::chrono::milliseconds kPongTimeout{1000};

  enum class Status { kHealthy, kPingDue, kSilent };

  LivenessMonitor(Duration quiet, TimePoint now)
      : m_quiet_threshold(quiet), m_last_received(now) {}

  void OnReceived(TimePoint now);
  /// Whether nothing was received for longer than the quiet threshold.
  bool IsQuiet(TimePoint now) const {
    return now > m_last_received + m_quiet_threshold;
  }
  bool awaits_pong() const { return m_ping_sent.has_value(); }
  /// Called when a ping was sent. Further pings do not restart the wait for a
  /// pong.
  void OnPing(TimePoint now);

  /// Returns the status of a connection on which data is expected. \p resumed
  /// is the time at which this process last resumed from a pause; a pong that
  /// arrived during the pause could not be read before.
  Status Check(TimePoint now, TimePoint resumed) const;

  /// Time at which the result of Check() can change next.
  TimePoint due() const;

 private:
  Duration m_quiet_threshold;
  TimePoint m_last_received;
  std::optional<TimePoint> m_ping_sent;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_
