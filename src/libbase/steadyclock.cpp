#include "libbase/steadyclock.h"

#include <ctime>

namespace fireflytrestle {

TimePoint SteadyClock::Now() const {
  // std::chrono::steady_clock stands still while the machine is suspended, so
  // that a process could not tell that its view is out of date.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace fireflytrestle
