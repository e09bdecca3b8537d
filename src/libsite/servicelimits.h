#ifndef FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_
#define FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_

#include <chrono>
#include <cstdint>

namespace fireflytrestle {

/// \brief What an upstream of a service bears.
struct ServiceLimits {
  std::uint32_t max_flows = 0;
  /// How long an upstream is cold after its start.
  std::chrono::milliseconds cold_duration{0};
  /// Requests a second that a cold upstream bears; 0 for no limit.
  double cold_rate = 0.0;

  bool operator==(const ServiceLimits&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SERVICELIMITS_H_
