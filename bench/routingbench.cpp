#include <benchmark/benchmark.h>

#include <memory>

#include "allocationcounter.h"
#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "librouting/packetrouter.h"
#include "librouting/routingview.h"
#include "rendezvousrouter.h"
#include "routingsite.h"

// Measures the cost of each routing decision of a balancer.
// scripts/check-bounds.sh reads the counters and depends on the names of the
// benchmarks.

namespace fireflytrestle {

namespace {

constexpr ServiceId kService{1};
/// Enough distinct packets that the branch predictor cannot learn the sequence.
constexpr std::size_t kPacketCount = 4096;
/// Fixed, so that scripts/check-bounds.sh can compute the instructions per
/// packet from the total. Must equal \c iterations there.
constexpr int kIterations = 20000;

/// \brief A router that holds a lease and has a configuration of one service.
class RouterFixture {
 public:
  explicit RouterFixture(std::uint32_t targets)
      : configuration(MakeConfiguration(kService, 1, targets)),
        router(MakeCodec(), 1, clock.Now()) {
    router.SetLease(clock.Now() + std::chrono::hours(24));
    router.InstallView(MakeRoutingView(configuration, {}), clock.Now());
    // Reports the load of every target, so that each OPEN compares loads.
    for (const TargetSettings& target : configuration.targets) {
      router.OnAgentDatagram(Return(target, PongMessage{}), clock.Now());
    }
  }

  const TargetSettings& RandomTarget() {
    return configuration.targets[random.Below(configuration.targets.size())];
  }

  Bytes Established() {
    return FabricPacket(kService, PingMessage{MakeToken(RandomTarget(), 1)});
  }

  Bytes Open() {
    return FabricPacket(kService, OpenMessage{MakeNonce(random)});
  }

  Bytes Return(const TargetSettings& target, const CallerMessage& message) {
    Envelope envelope;
    envelope.kind = EnvelopeKind::kReturn;
    envelope.caller = {0x7F000001U, 5000};
    envelope.service = kService;
    envelope.status =
        AgentStatus{target.id, TargetState::kWarm,
                    static_cast<std::uint32_t>(random.Below(100)), Revision{1}};
    return EncodePacket(envelope, message);
  }

  ManualClock clock;
  SeededRandom random{20261204};
  Configuration configuration;
  PacketRouter router;
};

/// Times \p route and the encoding of its result over \p packets. Reports the
/// allocations of \p route per packet and the maximum number of bytes that the
/// envelope adds to the payload.
template <typename Route>
void Measure(benchmark::State& state,
             const std::vector<Bytes>& packets,
             Route route) {
  Bytes out(kMaxDatagramBytes + kMaxEnvelopeOverheadBytes);
  std::size_t next = 0;
  std::size_t bytes_added = 0;
  std::uint64_t allocations = 0;
  for (auto _ : state) {
    const std::uint64_t before = g_allocations;
    const RouteDecision decision = route(packets[next]);
    allocations += g_allocations - before;
    const std::size_t size = EncodeEnvelope(decision.envelope, out);
    bytes_added =
        std::max(bytes_added, size - decision.envelope.payload.size());
    next = (next + 1) % packets.size();
  }
  state.counters["allocations"] = benchmark::Counter(
      static_cast<double>(allocations), benchmark::Counter::kAvgIterations);
  state.counters["bytes_added"] = static_cast<double>(bytes_added);
}

void Established(benchmark::State& state) {
  RouterFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  std::vector<Bytes> packets(kPacketCount);
  for (Bytes& packet : packets) {
    packet = fixture.Established();
  }
  Measure(state, packets, [&](const Bytes& packet) {
    return fixture.router.OnFabricDatagram(packet, fixture.clock.Now());
  });
}

void Open(benchmark::State& state) {
  RouterFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  std::vector<Bytes> packets(kPacketCount);
  for (Bytes& packet : packets) {
    packet = fixture.Open();
  }
  Measure(state, packets, [&](const Bytes& packet) {
    return fixture.router.OnFabricDatagram(packet, fixture.clock.Now());
  });
}

void Returned(benchmark::State& state) {
  RouterFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  const Bytes body(kMaxPartBytes);
  std::vector<Bytes> packets(kPacketCount);
  for (Bytes& packet : packets) {
    packet = fixture.Return(fixture.RandomTarget(),
                            PartMessage{FlowToken{}, 1, 0, 0, 1, body});
  }
  Measure(state, packets, [&](const Bytes& packet) {
    return fixture.router.OnAgentDatagram(packet, fixture.clock.Now());
  });
}

void RendezvousBaseline(benchmark::State& state) {
  RouterFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  RendezvousRouter baseline;
  baseline.InstallView(MakeRoutingView(fixture.configuration, {}));
  const Nonce nonce = MakeNonce(fixture.random);
  for (auto _ : state) {
    benchmark::DoNotOptimize(baseline.Route(kService, nonce));
  }
}

void InstallView(benchmark::State& state) {
  RouterFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  const auto view = MakeRoutingView(fixture.configuration, {});
  for (auto _ : state) {
    fixture.router.InstallView(view, fixture.clock.Now());
  }
}

/// One iteration handles the traffic of one second at the largest size that the
/// balancer is designed for: 300,000 flows with one packet in each direction,
/// and 5,000 new flows.
void OneSecondOfTraffic(benchmark::State& state) {
  constexpr std::size_t kFlows = 300000;
  constexpr std::size_t kNewFlows = 5000;
  RouterFixture fixture(100);
  std::vector<Bytes> packets(kFlows);
  for (Bytes& packet : packets) {
    packet = fixture.Established();
  }
  const Bytes pong = fixture.Return(fixture.RandomTarget(), PongMessage{});
  const Bytes accepted =
      fixture.Return(fixture.RandomTarget(), AcceptedMessage{});
  std::vector<Bytes> opens(kNewFlows);
  for (Bytes& packet : opens) {
    packet = fixture.Open();
  }
  for (auto _ : state) {
    for (const Bytes& packet : packets) {
      benchmark::DoNotOptimize(
          fixture.router.OnFabricDatagram(packet, fixture.clock.Now()));
      benchmark::DoNotOptimize(
          fixture.router.OnAgentDatagram(pong, fixture.clock.Now()));
    }
    for (const Bytes& packet : opens) {
      benchmark::DoNotOptimize(
          fixture.router.OnFabricDatagram(packet, fixture.clock.Now()));
      benchmark::DoNotOptimize(
          fixture.router.OnAgentDatagram(accepted, fixture.clock.Now()));
    }
  }
}

BENCHMARK(Established)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(Open)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(Returned)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(RendezvousBaseline)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(InstallView)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK(OneSecondOfTraffic)->Unit(benchmark::kMillisecond);
BENCHMARK(Established)
    ->Name("BoundEstablished")
    ->Arg(100)
    ->Iterations(kIterations);
BENCHMARK(Open)->Name("BoundOpen")->Arg(10)->Iterations(kIterations);
BENCHMARK(Open)->Name("BoundOpenLarge")->Arg(10000)->Iterations(kIterations);
BENCHMARK(Returned)->Name("BoundReturned")->Arg(100)->Iterations(kIterations);

}  // namespace

}  // namespace fireflytrestle

BENCHMARK_MAIN();
