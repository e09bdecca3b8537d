#ifndef FIREFLYTRESTLE_LIBWIRE_FLOWID_H_
#define FIREFLYTRESTLE_LIBWIRE_FLOWID_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

inline constexpr std::size_t kFlowTokenBytes = 40;

/// The encoded and authenticated form of a FlowId, which identifies an open
/// flow in the messages from and to its caller.
using FlowToken = std::array<std::uint8_t, kFlowTokenBytes>;

/// \brief Routable identity of a flow: the agent that owns the flow and the
/// flow's index in that agent's table.
struct FlowId {
  ZoneId zone{};
  ServiceId service{};
  TargetId target{};
  SocketAddress agent;
  /// Distinguishes the current flow at \ref index from earlier ones.
  std::uint16_t generation = 0;
  Incarnation incarnation{};
  std::uint32_t index = 0;

  bool operator==(const FlowId&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_FLOWID_H_
