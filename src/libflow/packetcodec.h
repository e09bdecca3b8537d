#ifndef FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_
#define FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "libflow/flowpacket.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief Interface to the packet format of a platform.
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  /// Decodes the header of a complete datagram. Empty for a datagram that is
  /// not a packet: too short, or of another length than its header states.
  virtual std::optional<FlowPacket> Decode(
      std::span<const std::uint8_t> datagram) const = 0;

  /// Writes a reset that the caller of \p tuple accepts as sent by the route.
  /// Returns its size, 0 if \p out is too small.
  virtual std::size_t EncodeReset(const FlowTuple& tuple,
                                  std::uint32_t sequence,
                                  std::span<std::uint8_t> out) const = 0;

  /// Removes the bounce mark from a packet that an upstream returned, so that
  /// it can be sent to another upstream.
  virtual void ClearBounced(std::span<std::uint8_t> datagram) const = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_
