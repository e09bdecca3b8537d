#ifndef FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_
#define FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_

#include <cstdint>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Send window of a response: selects the parts to send and to resend.
///
/// At most 32 parts are sent beyond the last one acknowledged in order, because
/// the bitmap in an ACK covers 32 parts.
class PartWindow {
 public:
  static constexpr std::uint32_t kSize = 32;
  /// Initial wait for an ACK. Callers are a few milliseconds away, so this
  /// leaves time for a caller that is briefly busy. The wait doubles with each
  /// timeout, up to kMaxResendTimeout, until an ACK reports progress.
  static constexpr std::chrono::milliseconds kInitialResendTimeout{200};
  static constexpr std::chrono::milliseconds kMaxResendTimeout{1600};
  /// Minimum time between two resends caused by the bitmap, so that several
  /// ACKs that report the same gap do not cause the same parts to be sent
  /// repeatedly.
  static constexpr std::chrono::milliseconds kResendInterval{20};

  explicit PartWindow(std::uint32_t first = 0)
      : m_acknowledged(first), m_next(first) {}

  /// Resets the window to start at part \p first.
  void Restart(std::uint32_t first) { *this = PartWindow(first); }

  /// The caller has received all parts below this index.
  std::uint32_t acknowledged() const { return m_acknowledged; }

  /// Appends the indices below \p end that may be sent for the first time.
  void TakeNew(std::uint32_t end,
               TimePoint now,
               std::vector<std::uint32_t>* indices);

  /// Processes an ACK and appends the indices that it reports as missing.
  void OnAck(std::uint32_t next_part,
             std::uint32_t missing,
             TimePoint now,
             std::vector<std::uint32_t>* indices);

  /// Appends the oldest unacknowledged indices if the wait for an ACK has timed
  /// out.
  void TakeOverdue(TimePoint now, std::vector<std::uint32_t>* indices);

  /// Time at which the wait for an ACK times out; TimePoint::max() if no ACK is
  /// awaited.
  TimePoint due() const { return m_due; }

 private:
  /// Number of parts to resend after a timeout. A few are enough to cause an
  /// ACK, whose bitmap reports the other missing parts.
  static constexpr std::uint32_t kMaxPartsPerTimeout = 8;

  std::uint32_t m_acknowledged;
  std::uint32_t m_next;
  std::chrono::milliseconds m_resend_timeout = kInitialResendTimeout;
  TimePoint m_due = TimePoint::max();
  TimePoint m_last_resend{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_
