#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_

#include <chrono>
#include <cstdint>

#include "libsite/routesettings.h"

namespace fireflytrestle {

/// \brief Properties of a flow's requests, as configured for its route.
struct FlowClass {
  /// Requests may be repeated.
  bool idempotent = false;
  /// Callers keep the flows open for many requests.
  bool long_lived = false;
  /// Time within which callers expect an answer; 0 if unknown.
  std::chrono::milliseconds latency_objective{0};
  /// Time after which callers abandon a request; 0 if unknown.
  std::chrono::milliseconds timeout{0};
  /// Decides, when there is too little room, whose requests are served; 0 is
  /// the highest.
  std::uint8_t priority = kDefaultPriority;

  bool operator==(const FlowClass&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_
