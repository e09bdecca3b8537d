#ifndef FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_
#define FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// \brief An address that callers use, and where its new flows go.
struct RouteSettings {
  SocketAddress address;
  /// Its requests may be repeated.
  bool idempotent = false;
  /// Callers keep its flows open for many requests.
  bool long_lived = false;
  /// Time within which callers want an answer.
  std::chrono::milliseconds latency_objective{0};
  /// Time after which callers give up.
  std::chrono::milliseconds timeout{0};
  std::vector<WeightedService> services;

  bool operator==(const RouteSettings&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_ROUTESETTINGS_H_
