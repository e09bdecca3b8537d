#ifndef FIREFLYTRESTLE_LIBFLOW_NODEMESSAGECODEC_H_
#define FIREFLYTRESTLE_LIBFLOW_NODEMESSAGECODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// Maximum number of flows in one status: at 22 bytes each they fit beside its
/// other fields into a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxFlowsPerStatus = 50;
/// Maximum number of balancers that one message announces.
inline constexpr std::size_t kMaxNewBalancers = 8;
/// Maximum number of agents in one message about overdue or stopping agents: at
/// 18 bytes each they fit into a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxOverdueAgents = 64;

/// Writes \p message to \p out without allocating. Returns its size, 0 if it
/// does not fit.
std::size_t EncodeNodeMessage(const NodeMessage& message,
                              std::span<std::uint8_t> out);

/// Decodes one datagram; empty if it is malformed. The result points into the
/// datagram.
std::optional<NodeMessage> DecodeNodeMessage(
    std::span<const std::uint8_t> datagram);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_NODEMESSAGECODEC_H_
