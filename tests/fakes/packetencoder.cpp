#include "fakes/packetencoder.h"

#include <QtEndian>
#include <algorithm>

namespace fireflytrestle {

namespace {

constexpr std::size_t kHeaderBytes = 32;

}  // namespace

std::vector<std::uint8_t> EncodePacket(const FlowPacket& packet,
                                       std::span<const std::uint8_t> data) {
  std::vector<std::uint8_t> bytes(kHeaderBytes + packet.data_bytes);
  const auto put = [&](auto value, std::size_t offset) {
    qToLittleEndian(value, bytes.data() + offset);
  };
  put(packet.sequence, 0);
  put(packet.acknowledgment, 4);
  put(packet.destination.port, 8);
  put(packet.destination.ipv4, 10);
  put(packet.source.port, 14);
  put(packet.source.ipv4, 16);
  bytes[24] = static_cast<std::uint8_t>(
      (packet.syn ? 4 : 0) + (packet.ack ? 32 : 0) + (packet.fin ? 16 : 0) +
      (packet.reset ? 2 : 0) + (packet.bounced ? 8 : 0));
  put(packet.data_bytes, 26);
  std::copy_n(data.begin(),
              std::min<std::size_t>(data.size(), packet.data_bytes),
              bytes.begin() + kHeaderBytes);
  return bytes;
}

}  // namespace fireflytrestle
