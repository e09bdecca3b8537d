#ifndef FIREFLYTRESTLE_TESTS_LIBFLOW_PLAINCODEC_H_
#define FIREFLYTRESTLE_TESTS_LIBFLOW_PLAINCODEC_H_

#include <cstring>
#include <vector>

#include "libflow/packetcodec.h"

namespace fireflytrestle {

/// \brief Packet format of the tests: the header as it is represented in
/// memory, without payload.
class PlainCodec : public PacketCodec {
 public:
  std::optional<FlowPacket> Decode(
      std::span<const std::uint8_t> datagram) const override {
    if (datagram.size() != sizeof(FlowPacket)) {
      return std::nullopt;
    }
    FlowPacket packet;
    std::memcpy(&packet, datagram.data(), sizeof(packet));
    return packet;
  }

  std::size_t EncodeReset(const FlowTuple& tuple,
                          std::uint32_t sequence,
                          std::span<std::uint8_t> out) const override {
    FlowPacket packet;
    packet.source = tuple.route;
    packet.destination = tuple.caller;
    packet.reset = true;
    packet.sequence = sequence;
    std::memcpy(out.data(), &packet, sizeof(packet));
    return sizeof(packet);
  }

  void ClearBounced(std::span<std::uint8_t> datagram) const override {
    FlowPacket packet;
    std::memcpy(&packet, datagram.data(), sizeof(packet));
    packet.bounced = false;
    std::memcpy(datagram.data(), &packet, sizeof(packet));
  }

  static std::vector<std::uint8_t> Encode(const FlowPacket& packet) {
    std::vector<std::uint8_t> bytes(sizeof(packet));
    std::memcpy(bytes.data(), &packet, sizeof(packet));
    return bytes;
  }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBFLOW_PLAINCODEC_H_
