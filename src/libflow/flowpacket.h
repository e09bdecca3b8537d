#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWPACKET_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWPACKET_H_

#include <cstdint>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Header fields of one packet of a flow that decisions depend on.
struct FlowPacket {
  SocketAddress source;
  SocketAddress destination;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool reset = false;
  /// The upstream returned the packet, because it cannot accept it or does not
  /// hold its flow.
  bool bounced = false;
  std::uint32_t sequence = 0;
  /// In a SYN, the number of copies that the caller has sent before.
  std::uint32_t acknowledgment = 0;
  /// Payload bytes of the packet.
  std::uint16_t data_bytes = 0;

  bool IsOpening() const { return syn && !ack; }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWPACKET_H_
