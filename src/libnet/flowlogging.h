#ifndef FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_
#define FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_

#include "libbase/logger.h"

namespace fireflytrestle {

/// Lines of one event: 5 a second at 15 us each are under a thousandth of a
/// process's time, and a burst covers the flows of one lost upstream.
inline constexpr LogRateLimit kFlowLogRateLimit{5.0, 50.0};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWLOGGING_H_
