#ifndef FIREFLYTRESTLE_LIBFLOW_PENDINGPACKETQUEUE_H_
#define FIREFLYTRESTLE_LIBFLOW_PENDINGPACKETQUEUE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Packets of callers that arrive at a balancer before it can route
/// them. Without this queue they would be lost, and callers repeat a packet
/// only after 200 ms.
class PendingPacketQueue {
 public:
  /// Bounds the memory to about 2.5 MB.
  static constexpr std::size_t kMaxPackets = 2000;
  /// Older packets are dropped, since their callers have sent a copy by then.
  static constexpr std::chrono::milliseconds kMaxWait{400};

  /// Adds a packet. Returns whether there was room.
  bool Add(std::span<const std::uint8_t> packet, TimePoint now);

  /// Removes all packets and returns those that have not waited too long, in
  /// order of arrival.
  std::vector<std::vector<std::uint8_t>> TakeAll(TimePoint now);

 private:
  struct PendingPacket {
    std::vector<std::uint8_t> packet;
    TimePoint arrived;
  };

  std::vector<PendingPacket> m_packets;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PENDINGPACKETQUEUE_H_
