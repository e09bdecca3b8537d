#ifndef FIREFLYTRESTLE_LIBBASE_CLOCK_H_
#define FIREFLYTRESTLE_LIBBASE_CLOCK_H_

#include <chrono>

namespace fireflytrestle {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Time of day of an instance. Those of two instances differ, and it may be
/// stepped.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// \brief Source of monotonic time for adapters. Decision code receives the
/// time as an argument instead.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_CLOCK_H_
