#include "libnet/flowsockets.h"

#include <algorithm>

#include "libflow/nodemessagecodec.h"
#include "libflow/packetcodec.h"
#include "libnet/flowreport.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

FlowSockets::FlowSockets(UdpSocket* node,
                         UdpSocket* upstream,
                         const Peers& peers,
                         const PacketCodec& codec,
                         FlowReport* report)
    : m_node(node),
      m_upstream(upstream),
      m_peers(peers),
      m_codec(codec),
      m_report(report) {}

void FlowSockets::SendToNode(const SocketAddress& node,
                             const NodeMessage& message) {
  if (m_node->IsFull()) {
    m_node->Flush();
  }
  const std::size_t size = EncodeNodeMessage(message, m_node->NextBuffer());
  if (size > 0) {
    m_node->Queue(node, size);
  }
}

void FlowSockets::SendToUpstream(std::span<const std::uint8_t> packet) {
  if (m_upstream != nullptr) {
    Queue(m_upstream, m_peers.upstream, packet);
  }
}

void FlowSockets::SendToCaller(const SocketAddress& caller,
                               std::span<const std::uint8_t> packet) {
  Queue(m_node, {caller.ipv4, m_peers.caller_port}, packet);
}

void FlowSockets::SendReset(const FlowTuple& tuple, std::uint32_t sequence) {
  if (m_node->IsFull()) {
    m_node->Flush();
  }
  const std::size_t size =
      m_codec.EncodeReset(tuple, sequence, m_node->NextBuffer());
  m_node->Queue({tuple.caller.ipv4, m_peers.caller_port}, size);
}

void FlowSockets::Report(const FlowDecision& decision) {
  m_report->Record(decision);
}

void FlowSockets::Measure(FlowMeasurement measurement, Duration time) {
  m_report->Measure(measurement, time);
}

void FlowSockets::Flush() {
  for (UdpSocket* socket : {m_node, m_upstream}) {
    if (socket != nullptr && socket->queued() > 0) {
      socket->Flush();
    }
  }
}

void FlowSockets::Queue(UdpSocket* socket,
                        const SocketAddress& destination,
                        std::span<const std::uint8_t> packet) {
  if (socket->IsFull()) {
    socket->Flush();
  }
  std::copy(packet.begin(), packet.end(), socket->NextBuffer().begin());
  socket->Queue(destination, packet.size());
}

}  // namespace fireflytrestle
