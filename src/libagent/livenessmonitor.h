#ifndef FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_
#define FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_

#include <optional>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Finds connections that stay open but deliver nothing any more.
///
/// Something on the path can lose a connection's state without closing it, so
/// only bytes received prove that a connection works.
class LivenessMonitor {
 public:
  static constexpr std::chrono::milliseconds kQuietThreshold{2000};
  static constexpr std::chrono::milliseconds kPongTimeout{1000};

  enum class Status { kHealthy, kPingDue, kSilent };

  LivenessMonitor(Duration quiet, TimePoint now)
      : m_quiet_threshold(quiet), m_last_received(now) {}

  void OnReceived(TimePoint now);
  /// Whether nothing was received for longer than the quiet time.
  bool IsQuiet(TimePoint now) const {
    return now > m_last_received + m_quiet_threshold;
  }
  bool awaits_pong() const { return m_ping_sent.has_value(); }
  /// A ping was sent.
  void OnPing(TimePoint now);

  /// Judges a connection from which something is expected. \p resumed is when
  /// this process last resumed from a pause: an answer may have waited unread
  /// until then.
  Status Check(TimePoint now, TimePoint resumed) const;

  /// When Check() may change its verdict next.
  TimePoint due() const;

 private:
  Duration m_quiet_threshold;
  TimePoint m_last_received;
  std::optional<TimePoint> m_ping_sent;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_LIVENESSMONITOR_H_
