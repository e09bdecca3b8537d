#ifndef FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_
#define FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// Priorities of routes: 0 is the highest.
inline constexpr std::uint8_t kMaxPriority = 9;
/// Priority of a route that names none.
inline constexpr std::uint8_t kDefaultPriority = 1;

struct WeightedService {
  std::string service;
  /// Share of the new flows; a service of weight 0 gets none.
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// \brief An address that callers send to, and the services that get its new
/// flows.
struct RouteSettings {
  SocketAddress address;
  /// Requests may be sent more than once without harm.
  bool idempotent = false;
  /// Callers keep a flow open for many requests.
  bool long_lived = false;
  /// Time within which callers expect an answer.
  std::chrono::milliseconds latency_objective{0};
  /// Time after which callers no longer wait for an answer.
  std::chrono::milliseconds timeout{0};
  /// Decides, when there is too little room, whose requests are served; 0 is
  /// the highest.
  std::uint8_t priority = kDefaultPriority;
  std::vector<WeightedService> services;

  bool operator==(const RouteSettings&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_
