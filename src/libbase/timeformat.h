#ifndef FIREFLYTRESTLE_LIBBASE_TIMEFORMAT_H_
#define FIREFLYTRESTLE_LIBBASE_TIMEFORMAT_H_

#include <chrono>
#include <string>

namespace fireflytrestle {

/// Returns \p time in UTC with milliseconds, such as
/// "2026-12-04T05:45:00.123Z".
std::string FormatTime(std::chrono::system_clock::time_point time);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_TIMEFORMAT_H_
