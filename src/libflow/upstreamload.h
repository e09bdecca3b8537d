#ifndef FIREFLYTRESTLE_LIBFLOW_UPSTREAMLOAD_H_
#define FIREFLYTRESTLE_LIBFLOW_UPSTREAMLOAD_H_

#include <chrono>

namespace fireflytrestle {

/// \brief Load and speed of an upstream as its agent measures them.
struct UpstreamLoad {
  /// Expected time until a slot is free for a new request.
  std::chrono::microseconds wait{0};
  /// Expected work of a request of the recent mix of classes.
  std::chrono::microseconds work{0};

  bool operator==(const UpstreamLoad&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_UPSTREAMLOAD_H_
