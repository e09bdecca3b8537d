#ifndef FIREFLYTRESTLE_LIBBASE_STEADYCLOCK_H_
#define FIREFLYTRESTLE_LIBBASE_STEADYCLOCK_H_

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief The system's monotonic clock. It continues to advance while the
/// process is stopped, for example by SIGSTOP, and while the machine is
/// suspended.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_STEADYCLOCK_H_
