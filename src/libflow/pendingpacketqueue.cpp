#include "libflow/pendingpacketqueue.h"

#include <utility>

namespace fireflytrestle {

bool PendingPacketQueue::Add(std::span<const std::uint8_t> packet,
                             TimePoint now) {
  if (m_packets.size() >= kMaxPackets) {
    // Packets that have waited too long are dropped to make room.
    std::erase_if(m_packets, [&](const PendingPacket& each) {
      return now - each.arrived > kMaxWait;
    });
    if (m_packets.size() >= kMaxPackets) {
      return false;
    }
  }
  m_packets.push_back({{packet.begin(), packet.end()}, now});
  return true;
}

std::vector<std::vector<std::uint8_t>> PendingPacketQueue::TakeAll(
    TimePoint now) {
  std::vector<std::vector<std::uint8_t>> packets;
  for (PendingPacket& each : std::exchange(m_packets, {})) {
    if (now - each.arrived <= kMaxWait) {
      packets.push_back(std::move(each.packet));
    }
  }
  return packets;
}

}  // namespace fireflytrestle
