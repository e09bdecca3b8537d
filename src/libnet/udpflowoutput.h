#ifndef FIREFLYTRESTLE_LIBNET_UDPFLOWOUTPUT_H_
#define FIREFLYTRESTLE_LIBNET_UDPFLOWOUTPUT_H_

#include <cstdint>
#include <memory>

#include "libflow/flowoutput.h"

namespace fireflytrestle {

class FlowTelemetry;
class PacketCodec;
class UdpSocket;

/// \brief Sends the packets and messages that flow decisions produce through
/// UDP sockets.
///
/// Datagrams are queued and sent in batches, when a batch is full or on
/// Flush().
class UdpFlowOutput : public FlowOutput {
 public:
  struct Peers {
    /// UDP port on which every caller receives packets, whatever the port of
    /// its flow.
    std::uint16_t caller_port = 0;
    /// The upstream on this agent's instance; unused by balancers.
    SocketAddress upstream;
  };

  /// \p node sends to other processes and to callers. \p upstream sends to the
  /// upstream and is null for balancers. All arguments except \p peers must
  /// outlive this object.
  UdpFlowOutput(UdpSocket* node,
                UdpSocket* upstream,
                const Peers& peers,
                const PacketCodec& codec,
                FlowTelemetry* telemetry);

  void SendToNode(const SocketAddress& node,
                  const NodeMessage& message) override;
  void SendToUpstream(std::span<const std::uint8_t> packet) override;
  void SendToCaller(const SocketAddress& caller,
                    std::span<const std::uint8_t> packet) override;
  void SendReset(const FlowTuple& tuple, std::uint32_t sequence) override;
  void Report(const FlowDecision& decision) override;
  void Measure(FlowMeasurement measurement, Duration time) override;

  /// Counts and logs a datagram of \p source that is no valid message.
  void ReportUnreadable(const SocketAddress& source);

  /// Sends all queued datagrams.
  void Flush();

 private:
  static void Queue(UdpSocket* socket,
                    const SocketAddress& destination,
                    std::span<const std::uint8_t> packet);

  UdpSocket* m_node;
  UdpSocket* m_upstream;
  Peers m_peers;
  const PacketCodec& m_codec;
  FlowTelemetry* m_telemetry;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_UDPFLOWOUTPUT_H_
