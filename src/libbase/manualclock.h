#ifndef FIREFLYTRESTLE_LIBBASE_MANUALCLOCK_H_
#define FIREFLYTRESTLE_LIBBASE_MANUALCLOCK_H_

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief A clock that moves only by Advance(), for tests. Starts one hour
/// after the epoch of the clock.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration step) { m_now += step; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_MANUALCLOCK_H_
