#include "balancer/trafficworker.h"

#include <doctest/doctest.h>

#include <QElapsedTimer>
#include <boost/leaf/handle_errors.hpp>

#include "balancer/agentdirectory.h"
#include "libconfig/configuration.h"
#include "libnet/eventloop.h"
#include "librouting/routingview.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr ServiceId kService{7};

/// A clock that stands still and, after a number of calls, is 60 s ahead, as
/// after a pause of the process.
class PausingClock : public Clock {
 public:
  TimePoint Now() const override {
    return kStart + std::chrono::seconds(m_calls_until_pause-- > 0 ? 0 : 60);
  }
  void PauseAfter(int calls) { m_calls_until_pause = calls; }

 private:
  mutable int m_calls_until_pause = 1 << 20;
};

std::unique_ptr<UdpSocket> Bind() {
  return boost::leaf::try_handle_all(
      [] {
        return UdpSocket::Bind({0x7f000001, 0});
      },
      [] { return std::unique_ptr<UdpSocket>(); });
}

/// A traffic worker between a fabric and one agent, both of which are sockets
/// of the test.
struct TrafficWorkerFixture {
  TrafficWorkerFixture() {
    EnsureEventLoop();
    auto frontend = Bind();
    auto backend = Bind();
    to_balancer = frontend->address();
    agent_to_balancer = backend->address();
    worker = std::make_unique<TrafficWorker>(
        TrafficWorker::Sockets{std::move(frontend), std::move(backend),
                               fabric->address()},
        FlowIdCodec({FlowKey{}}), clock,
        [this](TrafficSnapshot each) { snapshot = std::move(each); });
    Configuration configuration;
    configuration.revision = Revision{1};
    configuration.zones = {{ZoneId{1}, "bole", "local", false}};
    configuration.services.push_back({kService, "counter", {}, {}});
    TargetSettings target;
    target.id = TargetId{3};
    target.service = kService;
    target.zone = ZoneId{1};
    target.agent = agent->address();
    configuration.targets.push_back(target);
    worker->InstallView(MakeRoutingView(configuration, {}),
                        std::make_shared<AgentDirectory>(configuration));
    worker->SetLease(kStart + std::chrono::seconds(2));
  }

  void Send(UdpSocket* from,
            const SocketAddress& to,
            EnvelopeKind kind,
            const CallerMessage& message) {
    std::array<std::uint8_t, kMaxDatagramBytes> buffer;
    Envelope envelope;
    envelope.kind = kind;
    envelope.service = kService;
    envelope.payload = {buffer.data(), EncodeCallerMessage(message, buffer)};
    if (kind == EnvelopeKind::kReturn) {
      envelope.status = AgentStatus{TargetId{3}, TargetState::kWarm, 5, {}};
    }
    from->Queue(to, EncodeEnvelope(envelope, from->NextBuffer()));
    from->Flush();
  }

  /// Runs the event loop until \p socket has received something.
  bool ReceivesPacket(UdpSocket* socket) {
    return RunUntil([&] {
      return socket->Receive([](const SocketAddress&,
                                std::span<const std::uint8_t>) {}) > 0;
    });
  }

  PausingClock clock;
  std::unique_ptr<UdpSocket> fabric = Bind();
  std::unique_ptr<UdpSocket> agent = Bind();
  SocketAddress to_balancer;
  SocketAddress agent_to_balancer;
  TrafficSnapshot snapshot;
  std::unique_ptr<TrafficWorker> worker;
};

}  // namespace

TEST_CASE("A traffic worker forwards packets both ways and reports them") {
  // Guards against packets sent to the wrong socket, and against reports of
  // agents that are not recorded for their target.
  TrafficWorkerFixture traffic;
  traffic.Send(traffic.fabric.get(), traffic.to_balancer, EnvelopeKind::kCaller,
               OpenMessage{});
  CHECK(traffic.ReceivesPacket(traffic.agent.get()));
  traffic.Send(traffic.agent.get(), traffic.agent_to_balancer,
               EnvelopeKind::kReturn, AcceptedMessage{});
  CHECK(traffic.ReceivesPacket(traffic.fabric.get()));
  CHECK(RunUntil([&] { return traffic.snapshot.statistics.returned == 1; }));
  CHECK(traffic.snapshot.zones.contains(ZoneId{1}));
  REQUIRE(traffic.snapshot.router.targets.size() == 1);
  CHECK(traffic.snapshot.router.targets[0].open_flows == 5);
}

TEST_CASE("A packet routed before a pause is not sent after lease expiry") {
  // Guards against a resumed process that sends packets under an expired view
  // lease.
  TrafficWorkerFixture traffic;
  traffic.clock.PauseAfter(1);
  traffic.Send(traffic.fabric.get(), traffic.to_balancer, EnvelopeKind::kCaller,
               OpenMessage{});
  CHECK(RunUntil(
      [&] { return traffic.snapshot.losses.unsent_lease_expired == 1; }));
  CHECK(traffic.snapshot.statistics.opens_forwarded == 1);
  CHECK(traffic.agent->Receive(
            [](const SocketAddress&, std::span<const std::uint8_t>) {}) == 0);
}

TEST_CASE("A drain does not end while packets still arrive") {
  // Guards against a planned stop that drops packets in flight.
  TrafficWorkerFixture traffic;
  bool drained = false;
  traffic.worker->BeginDrain([&] { drained = true; });
  traffic.Send(traffic.fabric.get(), traffic.to_balancer, EnvelopeKind::kCaller,
               OpenMessage{});
  CHECK(traffic.ReceivesPacket(traffic.agent.get()));
  QElapsedTimer elapsed;
  elapsed.start();
  RunUntil([&] { return drained || elapsed.elapsed() > 200; });
  CHECK_FALSE(drained);
  traffic.clock.PauseAfter(0);
  CHECK(RunUntil([&] { return drained; }));
}

}  // namespace fireflytrestle
