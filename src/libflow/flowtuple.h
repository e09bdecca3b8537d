#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWTUPLE_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWTUPLE_H_

#include <cstddef>
#include <cstdint>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Identifies a flow whose packets carry no flow identifier, by the
/// caller's address and the address of the route that it called.
struct FlowTuple {
  SocketAddress caller;
  SocketAddress route;

  bool operator==(const FlowTuple&) const = default;
};

/// Returns a hash that is the same on every machine, so that it can be used to
/// select between instances.
inline std::uint64_t HashTuple(const FlowTuple& tuple) {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kShift = 29;
  std::uint64_t mixed =
      (std::uint64_t{tuple.caller.ipv4} << 32U) | tuple.route.ipv4;
  mixed = (mixed ^ (mixed >> kShift)) * kMultiplier;
  mixed ^= (std::uint64_t{tuple.caller.port} << 16U) | tuple.route.port;
  mixed = (mixed ^ (mixed >> kShift)) * kMultiplier;
  return mixed ^ (mixed >> 32U);
}

struct FlowTupleHash {
  std::size_t operator()(const FlowTuple& tuple) const {
    return static_cast<std::size_t>(HashTuple(tuple));
  }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWTUPLE_H_
