#ifndef FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_
#define FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "libflow/flowpacket.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief Port to the packet format of a platform.
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  /// Reads the header of a whole datagram. Empty for a datagram that is no
  /// packet: too short, or with another length than its header states.
  virtual std::optional<FlowPacket> Decode(
      std::span<const std::uint8_t> datagram) const = 0;

  /// Writes a reset that the caller of \p tuple takes for one of the route.
  /// Returns its size, 0 if \p out is too small.
  virtual std::size_t EncodeReset(const FlowTuple& tuple,
                                  std::uint32_t sequence,
                                  std::span<std::uint8_t> out) const = 0;

  /// Makes a packet that an upstream handed back ready for another one.
  virtual void ClearBounced(std::span<std::uint8_t> datagram) const = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PACKETCODEC_H_
