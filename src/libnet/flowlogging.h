#ifndef FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_
#define FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_

#include "libbase/logger.h"

namespace fireflytrestle {

/// Limit on the log lines of one event. 5 lines per second at 15 us each take
/// less than 0.1 % of a CPU; the burst of 50 covers the flows of one lost
/// upstream.
inline constexpr LogRateLimit kFlowLogRateLimit{5.0, 50.0};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_
