#ifndef FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_
#define FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_

#include <QSocketNotifier>
#include <QTimer>
#include <atomic>
#include <memory>

#include "libflow/flowrouter.h"
#include "libnet/flowsockets.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

class Clock;

/// \brief Carries packets on the traffic thread: sockets around a FlowRouter.
class FlowBalancerWorker {
 public:
  /// Figures that other threads may read.
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

  /// All references must outlive the worker.
  FlowBalancerWorker(FlowRouter::Settings settings,
                     std::unique_ptr<UdpSocket> frontend,
                     std::unique_ptr<UdpSocket> node,
                     const PacketCodec& codec,
                     const Clock& clock,
                     FlowReport* report,
                     Gauges* gauges);

  void InstallView(std::shared_ptr<const SiteView> view);
  void ConfirmView(TimePoint at) { m_router.ConfirmView(at); }

 private:
  void OnFrontend();
  void OnNode();
  void Tick();

  std::unique_ptr<UdpSocket> m_frontend;
  std::unique_ptr<UdpSocket> m_node;
  const Clock& m_clock;
  Gauges* m_gauges;
  FlowSockets m_output;
  FlowRouter m_router;
  QSocketNotifier m_frontend_notifier;
  QSocketNotifier m_node_notifier;
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERWORKER_H_
