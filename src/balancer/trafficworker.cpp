#include "balancer/trafficworker.h"

#include <utility>

#include "balancer/agentdirectory.h"
#include "libnet/systemrandom.h"
#include "librouting/routingview.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

namespace {

// 16 batches are 512 datagrams, about 1 ms of work.
constexpr int kBatchesPerTurn = 16;
constexpr std::chrono::milliseconds kDrainCheckInterval{50};

}  // namespace

TrafficWorker::TrafficWorker(Sockets sockets,
                             FlowIdCodec codec,
                             const Clock& clock,
                             std::function<void(TrafficSnapshot)> publish)
    : m_sockets(std::move(sockets)),
      m_router(std::move(codec), DrawSeed(), clock.Now()),
      m_clock(clock),
      m_publish(std::move(publish)),
      m_last_arrival(clock.Now()),
      m_frontend_notifier(m_sockets.frontend->descriptor(),
                          QSocketNotifier::Read),
      m_backend_notifier(m_sockets.backend->descriptor(),
                         QSocketNotifier::Read) {
  Watch(&m_frontend_notifier, m_sockets.frontend.get(),
        &TrafficWorker::OnFabricDatagram);
  Watch(&m_backend_notifier, m_sockets.backend.get(),
        &TrafficWorker::OnAgentDatagram);
  QObject::connect(&m_publish_timer, &QTimer::timeout, &m_publish_timer,
                   [this] { Publish(); });
  m_publish_timer.start(kPublishInterval);
}

void TrafficWorker::Watch(QSocketNotifier* notifier,
                          UdpSocket* socket,
                          Handler handler) {
  UdpSocket::Handler call = [this, handler](
                                const SocketAddress& source,
                                std::span<const std::uint8_t> datagram) {
    (this->*handler)(source, datagram);
  };
  QObject::connect(
      notifier, &QSocketNotifier::activated, notifier,
      [this, socket, call = std::move(call)] { Receive(socket, call); });
}

void TrafficWorker::InstallView(std::shared_ptr<const RoutingView> view,
                                std::shared_ptr<const AgentDirectory> agents) {
  m_router.InstallView(std::move(view), m_clock.Now());
  m_agents = std::move(agents);
}

void TrafficWorker::SetLease(TimePoint until) {
  m_lease_until = until;
  m_router.SetLease(until);
}

void TrafficWorker::BeginDrain(std::function<void()> drained) {
  m_last_arrival = m_clock.Now();
  QObject::connect(&m_drain_timer, &QTimer::timeout, &m_drain_timer,
                   [this, drained = std::move(drained)] {
                     if (m_clock.Now() - m_last_arrival >= kDrainIdleTime) {
                       m_drain_timer.stop();
                       drained();
                     }
                   });
  m_drain_timer.start(kDrainCheckInterval);
}

void TrafficWorker::Receive(UdpSocket* socket,
                            const UdpSocket::Handler& handler) {
  for (int i = 0; i < kBatchesPerTurn; ++i) {
    const std::size_t received = socket->Receive(handler);
    Flush(m_sockets.backend.get());
    Flush(m_sockets.frontend.get());
    if (received < UdpSocket::kBatchDatagrams) {
      return;
    }
  }
}

void TrafficWorker::OnFabricDatagram(const SocketAddress& /*source*/,
                                     std::span<const std::uint8_t> datagram) {
  m_last_arrival = m_clock.Now();
  const RouteDecision decision =
      m_router.OnFabricDatagram(datagram, m_last_arrival);
  if (decision.action == RouteDecision::Action::kForward) {
    Forward(decision);
  } else if (decision.action == RouteDecision::Action::kReturn) {
    Return(decision, std::nullopt);
  }
}

void TrafficWorker::OnAgentDatagram(const SocketAddress& source,
                                    std::span<const std::uint8_t> datagram) {
  m_last_arrival = m_clock.Now();
  const RouteDecision decision =
      m_router.OnAgentDatagram(datagram, m_last_arrival);
  if (decision.action == RouteDecision::Action::kForward) {
    Forward(decision);
  } else if (decision.action == RouteDecision::Action::kReturn) {
    Return(decision, ZoneOf(source));
  }
}

void TrafficWorker::Forward(const RouteDecision& decision) {
  m_zones[ZoneOf(decision.agent)].to_agents.Count(decision.envelope.payload);
  Queue(m_sockets.backend.get(), decision.agent, decision.envelope);
  if (decision.probe) {
    m_zones[ZoneOf(*decision.probe)].to_agents.Count(decision.envelope.payload);
    Queue(m_sockets.backend.get(), *decision.probe, decision.envelope);
  }
}

void TrafficWorker::Return(const RouteDecision& decision,
                           std::optional<ZoneId> zone) {
  m_zones[zone].to_callers.Count(decision.envelope.payload);
  Queue(m_sockets.frontend.get(), m_sockets.fabric, decision.envelope);
}

void TrafficWorker::Queue(UdpSocket* socket,
                          const SocketAddress& destination,
                          const Envelope& envelope) {
  if (socket->IsFull()) {
    Flush(socket);
  }
  const std::size_t size = EncodeEnvelope(envelope, socket->NextBuffer());
  if (size > 0) {
    socket->Queue(destination, size);
  }
}

void TrafficWorker::Flush(UdpSocket* socket) {
  if (socket->queued() == 0) {
    return;
  }
  if (m_clock.Now() >= m_lease_until) {
    m_unsent_lease_expired += socket->DiscardQueued();
    return;
  }
  socket->Flush();
}

std::optional<ZoneId> TrafficWorker::ZoneOf(const SocketAddress& agent) const {
  return m_agents ? m_agents->FindZone(agent) : std::nullopt;
}

void TrafficWorker::Publish() {
  TrafficSnapshot snapshot;
  snapshot.statistics = m_router.statistics();
  snapshot.router = m_router.Snapshot(m_clock.Now());
  snapshot.drops = m_router.drops();
  snapshot.losses.unsent_lease_expired = m_unsent_lease_expired;
  for (const UdpSocket* socket :
       {m_sockets.frontend.get(), m_sockets.backend.get()}) {
    snapshot.losses.send_failures += socket->send_failures();
    snapshot.losses.oversized += socket->oversized();
  }
  snapshot.zones = m_zones;
  m_publish(std::move(snapshot));
}

}  // namespace fireflytrestle
