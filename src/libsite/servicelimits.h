#ifndef FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_
#define FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_

#include <chrono>
#include <cstdint>

namespace fireflytrestle {

/// \brief Load limits of each upstream of a service.
struct ServiceLimits {
  std::uint32_t max_flows = 0;
  /// Duration of the slow start after an upstream has started.
  std::chrono::milliseconds cold_duration{0};
  /// Maximum requests per second to an upstream in its slow start; 0 for no
  /// limit.
  double cold_rate = 0.0;

  bool operator==(const ServiceLimits&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_
