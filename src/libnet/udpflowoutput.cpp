#include "libnet/udpflowoutput.h"

#include <algorithm>

#include "libflow/nodemessagecodec.h"
#include "libflow/packetcodec.h"
#include "libnet/flowtelemetry.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

UdpFlowOutput::UdpFlowOutput(UdpSocket* node,
                             UdpSocket* upstream,
                             const Peers& peers,
                             const PacketCodec& codec,
                             FlowTelemetry* telemetry)
    : m_node(node),
      m_upstream(upstream),
      m_peers(peers),
      m_codec(codec),
      m_telemetry(telemetry) {}

void UdpFlowOutput::SendToNode(const SocketAddress& node,
                               const NodeMessage& message) {
  if (m_node->IsFull()) {
    m_node->Flush();
  }
  const std::size_t size = EncodeNodeMessage(message, m_node->NextBuffer());
  if (size > 0) {
    m_node->Queue(node, size);
  }
}

void UdpFlowOutput::SendToUpstream(std::span<const std::uint8_t> packet) {
  if (m_upstream != nullptr) {
    Queue(m_upstream, m_peers.upstream, packet);
  }
}

void UdpFlowOutput::SendToCaller(const SocketAddress& caller,
                                 std::span<const std::uint8_t> packet) {
  Queue(m_node, {caller.ipv4, m_peers.caller_port}, packet);
}

void UdpFlowOutput::SendReset(const FlowTuple& tuple, std::uint32_t sequence) {
  if (m_node->IsFull()) {
    m_node->Flush();
  }
  const std::size_t size =
      m_codec.EncodeReset(tuple, sequence, m_node->NextBuffer());
  m_node->Queue({tuple.caller.ipv4, m_peers.caller_port}, size);
}

void UdpFlowOutput::Report(const FlowDecision& decision) {
  m_telemetry->Record(decision);
}

void UdpFlowOutput::Measure(FlowMeasurement measurement, Duration time) {
  m_telemetry->Measure(measurement, time);
}

void UdpFlowOutput::ReportUnreadable(const SocketAddress& source) {
  FlowDecision decision;
  decision.kind = FlowDecision::Kind::kDropped;
  decision.peer = source;
  decision.reason = "unreadable_message";
  m_telemetry->Record(decision);
}

void UdpFlowOutput::Flush() {
  for (UdpSocket* socket : {m_node, m_upstream}) {
    if (socket != nullptr && socket->queued() > 0) {
      socket->Flush();
    }
  }
}

void UdpFlowOutput::Queue(UdpSocket* socket,
                          const SocketAddress& destination,
                          std::span<const std::uint8_t> packet) {
  if (socket->IsFull()) {
    socket->Flush();
  }
  std::copy(packet.begin(), packet.end(), socket->NextBuffer().begin());
  socket->Queue(destination, packet.size());
}

}  // namespace fireflytrestle
