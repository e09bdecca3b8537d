#ifndef FIREFLYTRESTLE_LIBFLOW_PENDINGPACKETQUEUE_H_
#define FIREFLYTRESTLE_LIBFLOW_PENDINGPACKETQUEUE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Packets of callers that arrive at a balancer before it knows where
/// they belong; without it callers repeat them only after 200 ms.
class PendingPacketQueue {
 public:
  /// Bounds the memory to about 2.5 MB.
  static constexpr std::size_t kMaxPackets = 2000;
  /// Callers have sent a copy of an older packet by now.
  static constexpr std::chrono::milliseconds kMaxWait{400};

  /// Returns whether there was room.
  bool Add(std::span<const std::uint8_t> packet, TimePoint now);

  /// Takes out the packets that are young enough, in order of their arrival.
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
