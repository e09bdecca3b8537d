#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_

#include <chrono>

namespace fireflytrestle {

/// \brief What the route of a flow says of its requests.
struct FlowClass {
  /// Requests may be repeated.
  bool idempotent = false;
  /// Callers keep the flows open for many requests.
  bool long_lived = false;
  /// Time within which callers want an answer; 0 if not known.
  std::chrono::milliseconds latency_objective{0};
  /// Time after which callers give up; 0 if not known.
  std::chrono::milliseconds timeout{0};

  bool operator==(const FlowClass&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWCLASS_H_
