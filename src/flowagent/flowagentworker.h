#ifndef FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTWORKER_H_
#define FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTWORKER_H_

#include <QSocketNotifier>
#include <QTimer>
#include <array>
#include <atomic>
#include <functional>
#include <memory>

#include "libflow/flowtracker.h"
#include "libnet/udpflowoutput.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

class Clock;

/// \brief Connects a FlowTracker to the UDP sockets towards balancers, callers
/// and the upstream on the traffic thread.
class FlowAgentWorker {
 public:
  /// Values that other threads may read.
  struct Gauges {
    std::atomic<std::uint64_t> flows{0};
    std::atomic<std::uint64_t> running{0};
    /// Expected wait and work of a request in microseconds; 0 if not known.
    std::atomic<std::int64_t> wait_us{0};
    std::atomic<std::int64_t> work_us{0};
    std::atomic<std::uint64_t> node_messages{0};
    std::atomic<std::uint64_t> upstream_packets{0};
    std::atomic<std::uint64_t> send_failures{0};
    /// Requests that wait for a slot, by priority.
    std::array<std::atomic<std::uint32_t>, kMaxPriority + 1> waiting{};
    std::atomic<AgentPhase> phase{AgentPhase::kServing};
  };

  /// All references must outlive the worker.
  FlowAgentWorker(FlowTracker::Settings settings,
                  const SocketAddress& upstream,
                  std::unique_ptr<UdpSocket> node,
                  std::unique_ptr<UdpSocket> outbound,
                  const PacketCodec& codec,
                  const Clock& clock,
                  FlowTelemetry* report,
                  Gauges* gauges);

  /// Notifies the balancers that the agent is about to stop.
  void BeginStop();
  void OnUpstreamAbsent();
  void OnUpstreamDown();
  void OnUpstreamUp();

 private:
  void OnNodeReadable();
  void OnOutboundReadable();
  void Tick();

  std::unique_ptr<UdpSocket> m_node;
  std::unique_ptr<UdpSocket> m_outbound;
  const Clock& m_clock;
  Gauges* m_gauges;
  UdpFlowOutput m_output;
  FlowTracker m_tracker;
  QSocketNotifier m_node_notifier;
  QSocketNotifier m_outbound_notifier;
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTWORKER_H_
