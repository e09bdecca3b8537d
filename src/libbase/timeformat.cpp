#include "libbase/timeformat.h"

#include <spdlog/fmt/chrono.h>

namespace fireflytrestle {

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch()) %
      std::chrono::seconds(1);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     milliseconds.count());
}

}  // namespace fireflytrestle
