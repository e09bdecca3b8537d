#ifndef FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_
#define FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_

#include <QSocketNotifier>
#include <QTimer>
#include <atomic>
#include <functional>
#include <map>
#include <memory>

#include "libflow/flowrouter.h"
#include "libnet/udpflowoutput.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

class Clock;

/// \brief Connects a FlowRouter to its UDP sockets on the traffic thread.
class FlowBalancerWorker {
 public:
  /// Values that other threads may read.
  struct Gauges {
    std::atomic<std::uint64_t> flows{0};
    std::atomic<std::uint64_t> agents{0};
    std::atomic<std::uint64_t> caller_packets{0};
    std::atomic<std::uint64_t> node_messages{0};
    std::atomic<std::uint64_t> send_failures{0};
    std::atomic<bool> serving{false};
    /// Steady-clock time of the last packet of a caller, in milliseconds.
    std::atomic<std::int64_t> last_caller_packet_ms{0};
  };

  /// Handlers of messages that concern the store: balancers that agents
  /// announced, and changes that other balancers shared. Called on the traffic
  /// thread.
  struct PeerHandlers {
    std::function<void(const SocketAddress& peer)> introduced;
    std::function<void(const SocketAddress& peer, const SharedChanges&)> shared;
  };

  /// All references must outlive the worker.
  FlowBalancerWorker(FlowRouter::Settings settings,
                     std::unique_ptr<UdpSocket> frontend,
                     std::unique_ptr<UdpSocket> node,
                     const PacketCodec& codec,
                     const Clock& clock,
                     FlowTelemetry* report,
                     Gauges* gauges,
                     PeerHandlers handlers);

  void InstallView(std::shared_ptr<const SiteView> view);
  void ConfirmView(TimePoint at) { m_router.ConfirmView(at); }
  void SendToPeers(const std::vector<SocketAddress>& peers,
                   const SharedChanges& changes);

 private:
  void OnFrontendReadable();
  void OnNodeReadable();
  void OnNodeMessage(const SocketAddress& source,
                     const NodeMessage& message,
                     TimePoint now);
  void Tick();

  std::unique_ptr<UdpSocket> m_frontend;
  std::unique_ptr<UdpSocket> m_node;
  const Clock& m_clock;
  Gauges* m_gauges;
  PeerHandlers m_handlers;
  /// Balancers that agents announced, and when each was last passed to the
  /// handler.
  std::map<SocketAddress, TimePoint> m_introduced;
  UdpFlowOutput m_output;
  FlowRouter m_router;
  QSocketNotifier m_frontend_notifier;
  QSocketNotifier m_node_notifier;
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_
