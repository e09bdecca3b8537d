#include "flowbalancer/flowbalancerworker.h"

#include <utility>

#include "libbase/clock.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
/// Maximum number of batches from one socket before the other one is read.
constexpr int kBatchesPerTurn = 16;
/// Minimum interval between two notifications of the same balancer, because all
/// agents announce a new balancer in each report for some seconds.
constexpr std::chrono::milliseconds kAnnouncementInterval{1000};

}  // namespace

FlowBalancerWorker::FlowBalancerWorker(FlowRouter::Settings settings,
                                       std::unique_ptr<UdpSocket> frontend,
                                       std::unique_ptr<UdpSocket> node,
                                       const PacketCodec& codec,
                                       const Clock& clock,
                                       FlowTelemetry* report,
                                       Gauges* gauges,
                                       PeerHandlers handlers)
    : m_frontend(std::move(frontend)),
      m_node(std::move(node)),
      m_clock(clock),
      m_gauges(gauges),
      m_handlers(std::move(handlers)),
      m_output(m_node.get(),
               nullptr,
               {m_frontend->address().port, {}},
               codec,
               report),
      m_router(std::move(settings), codec, &m_output, clock.Now()),
      m_frontend_notifier(m_frontend->descriptor(), QSocketNotifier::Read),
      m_node_notifier(m_node->descriptor(), QSocketNotifier::Read) {
  QObject::connect(&m_frontend_notifier, &QSocketNotifier::activated,
                   &m_frontend_notifier, [this] { OnFrontendReadable(); });
  QObject::connect(&m_node_notifier, &QSocketNotifier::activated,
                   &m_node_notifier, [this] { OnNodeReadable(); });
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { Tick(); });
  m_timer.setTimerType(Qt::PreciseTimer);
  m_timer.start(kTickInterval);
}

void FlowBalancerWorker::InstallView(std::shared_ptr<const SiteView> view) {
  m_router.InstallView(std::move(view), m_clock.Now());
  m_gauges->serving = m_router.IsServing();
  m_output.Flush();
}

void FlowBalancerWorker::OnFrontendReadable() {
  const TimePoint now = m_clock.Now();
  m_gauges->last_caller_packet_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count();
  const UdpSocket::Handler handler =
      [&](const SocketAddress& /*source*/,
          std::span<const std::uint8_t> datagram) {
        m_router.OnCallerPacket(datagram, now);
      };
  std::size_t received = UdpSocket::kBatchDatagrams;
  for (int i = 0; i < kBatchesPerTurn && received == UdpSocket::kBatchDatagrams;
       ++i) {
    received = m_frontend->Receive(handler);
    m_gauges->caller_packets += received;
    m_output.Flush();
  }
}

void FlowBalancerWorker::OnNodeReadable() {
  const TimePoint now = m_clock.Now();
  const UdpSocket::Handler handler =
      [&](const SocketAddress& source, std::span<const std::uint8_t> datagram) {
        if (const auto message = DecodeNodeMessage(datagram)) {
          OnNodeMessage(source, *message, now);
        } else {
          m_output.ReportUnreadable(source);
        }
      };
  std::size_t received = UdpSocket::kBatchDatagrams;
  for (int i = 0; i < kBatchesPerTurn && received == UdpSocket::kBatchDatagrams;
       ++i) {
    received = m_node->Receive(handler);
    m_gauges->node_messages += received;
    m_output.Flush();
  }
}

void FlowBalancerWorker::OnNodeMessage(const SocketAddress& source,
                                       const NodeMessage& message,
                                       TimePoint now) {
  if (const auto* changes = std::get_if<SharedChanges>(&message)) {
    m_handlers.shared(source, *changes);
    return;
  }
  if (const auto* status = std::get_if<AgentStatus>(&message)) {
    for (const SocketAddress& peer : status->new_balancers) {
      TimePoint& last_notified = m_introduced[peer];
      if (now - last_notified >= kAnnouncementInterval) {
        last_notified = now;
        m_handlers.introduced(peer);
      }
    }
  }
  m_router.OnNodeMessage(source, message, now);
}

void FlowBalancerWorker::SendToPeers(const std::vector<SocketAddress>& peers,
                                     const SharedChanges& changes) {
  for (const SocketAddress& peer : peers) {
    m_output.SendToNode(peer, changes);
  }
  m_output.Flush();
}

void FlowBalancerWorker::Tick() {
  // Reports that wait in the socket are read before the check for silent
  // agents.
  OnNodeReadable();
  m_router.OnTick(m_clock.Now());
  m_output.Flush();
  m_gauges->flows = m_router.flow_count();
  m_gauges->agents = m_router.agents().all().size();
  m_gauges->send_failures = m_node->send_failures();
  m_gauges->serving = m_router.IsServing();
}

}  // namespace fireflytrestle
