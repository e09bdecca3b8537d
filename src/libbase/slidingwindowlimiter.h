#ifndef FIREFLYTRESTLE_LIBBASE_SLIDINGWINDOWLIMITER_H_
#define FIREFLYTRESTLE_LIBBASE_SLIDINGWINDOWLIMITER_H_

#include <cstdint>
#include <deque>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Limits the number of events in every time window of a given width,
/// wherever it starts. A token bucket would permit twice its rate within one
/// second.
class SlidingWindowLimiter {
 public:
  explicit SlidingWindowLimiter(std::chrono::milliseconds width)
      : m_width(width) {}

  /// Returns whether one more event at \p now is within \p limit.
  bool Allows(std::uint32_t limit, TimePoint now);

  /// Records an event at \p now. Keeps only the last \p limit events.
  void Record(std::uint32_t limit, TimePoint now);

 private:
  std::chrono::milliseconds m_width;
  std::deque<TimePoint> m_events;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_SLIDINGWINDOWLIMITER_H_
