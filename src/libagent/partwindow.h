#ifndef FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_
#define FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_

#include <cstdint>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Decides which parts of a response to send and to send again.
///
/// At most 32 parts are sent beyond the last one acknowledged in order, which
/// is the reach of the bitmap in an ACK.
class PartWindow {
 public:
  static constexpr std::uint32_t kSize = 32;
  /// First wait for an ACK; callers are a few milliseconds away, so this leaves
  /// room for a caller that is briefly busy.
  static constexpr std::chrono::milliseconds kInitialResendTimeout{200};
  static constexpr std::chrono::milliseconds kMaxResendTimeout{1600};
  /// Least time between two answers to missing bits, so that a run of ACKs
  /// reporting the same gap does not multiply the parts sent.
  static constexpr std::chrono::milliseconds kResendInterval{20};

  explicit PartWindow(std::uint32_t first = 0)
      : m_acknowledged(first), m_next(first) {}

  /// Starts again from \p first, for another attempt.
  void Restart(std::uint32_t first) { *this = PartWindow(first); }

  /// All parts below this index have arrived at the caller.
  std::uint32_t acknowledged() const { return m_acknowledged; }

  /// Appends the indices below \p end that may be sent for the first time.
  void TakeNew(std::uint32_t end,
               TimePoint now,
               std::vector<std::uint32_t>* indices);

  /// Appends the indices that the ACK reports as missing.
  void OnAck(std::uint32_t next_part,
             std::uint32_t missing,
             TimePoint now,
             std::vector<std::uint32_t>* indices);

  /// Appends the oldest indices without ACK if the wait for one is over.
  void TakeOverdue(TimePoint now, std::vector<std::uint32_t>* indices);

  /// End of the present wait for an ACK; TimePoint::max() if there is none.
  TimePoint due() const { return m_due; }

 private:
  /// Parts sent again at once after a wait without ACK. A few are enough to
  /// bring an ACK, whose bitmap then names the rest.
  static constexpr std::uint32_t kMaxPartsPerTimeout = 8;

  std::uint32_t m_acknowledged;
  std::uint32_t m_next;
  std::chrono::milliseconds m_resend_timeout = kInitialResendTimeout;
  TimePoint m_due = TimePoint::max();
  TimePoint m_last_resend{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_PARTWINDOW_H_
