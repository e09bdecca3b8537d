#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

#include "../../bench/allocationcounter.h"
#include "../../bench/fleet.h"
#include "../../bench/rendezvousrouter.h"

namespace fireflytrestle {

using std::chrono::seconds;

TEST_CASE("No flow changes its target while targets and balancers change") {
  // Guards against routing of established flows by the view of the balancer
  // that receives the packet: balancers with different views would send packets
  // of one flow to different targets.
  struct Flow {
    FlowToken token;
    Nonce nonce;
    TargetId owner;
    TargetId baseline_owner;
    bool broken = false;
    bool baseline_broken = false;
  };
  Fleet fleet;
  SeededRandom& random = fleet.random;
  std::vector<Configuration> views{MakeConfiguration(kService, 1, 8)};
  std::vector<std::unique_ptr<PacketRouter>> routers(4);
  std::vector<RendezvousRouter> baselines(routers.size());
  std::vector<Flow> flows;
  std::uint64_t packets = 0;
  for (std::uint32_t round = 0; round < 20; ++round) {
    Configuration next = views.back();
    next.revision = Revision{round + 2};
    next.targets.push_back(MakeTarget(100 + round, kService));
    next.targets.erase(next.targets.begin() +
                       static_cast<std::ptrdiff_t>(random.Below(8)));
    views.push_back(next);
    for (std::size_t i = 0; i < routers.size(); ++i) {
      // Each round replaces one router and gives every router one of the last 4
      // views.
      const Configuration& view =
          *(views.rbegin() + static_cast<std::ptrdiff_t>(random.Below(
                                 std::min<std::size_t>(views.size(), 4))));
      if (routers[i] == nullptr || round % routers.size() == i) {
        routers[i] = fleet.MakeRouter(view);
      }
      routers[i]->InstallView(MakeRoutingView(view, {}), fleet.clock.Now());
      baselines[i].InstallView(MakeRoutingView(view, {}));
    }
    for (int i = 0; i < 200; ++i) {
      const std::size_t at = random.Below(routers.size());
      const Nonce nonce = MakeNonce(random);
      const Outcome opened = fleet.Send(*routers[at], OpenMessage{nonce});
      REQUIRE(opened.flow.has_value());
      flows.push_back({*opened.flow, nonce, *opened.reached,
                       baselines[at].Route(kService, nonce)->id});
    }
    // Every flow sends one packet and a third of them a duplicate, in random
    // order.
    std::vector<std::size_t> order(flows.size() + flows.size() / 3);
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random.Below(i)]);
    }
    for (const std::size_t packet : order) {
      Flow& flow = flows[packet % flows.size()];
      const std::size_t at = random.Below(routers.size());
      ++packets;
      flow.broken |=
          fleet.Send(*routers[at], PingMessage{flow.token}).reached !=
          flow.owner;
      flow.baseline_broken |=
          baselines[at].Route(kService, flow.nonce)->id != flow.baseline_owner;
    }
  }
  const auto broken = std::ranges::count_if(flows, &Flow::broken);
  MESSAGE(flows.size() << " flows, " << packets << " packets: " << broken
                       << " flows broken, baseline "
                       << std::ranges::count_if(flows, &Flow::baseline_broken));
  CHECK(flows.size() >= 2000);
  CHECK(broken == 0);
}

TEST_CASE("A router sends nothing to a zone that its view takes out") {
  // Guards against packets to a zone that operators have taken out, and against
  // routing that works only if all routers have the same view.
  Fleet fleet;
  Configuration view = MakeConfiguration(kService, 1, 8);
  const auto before = fleet.MakeRouter(view);
  view.revision = Revision{2};
  view.zones[1].out = true;
  const auto after = fleet.MakeRouter(view);
  for (int i = 0; i < 500; ++i) {
    const Outcome opened = fleet.Open(i % 2 == 0 ? *before : *after);
    const bool out = static_cast<std::uint32_t>(*opened.reached) % 4 == 1;
    CHECK((i % 2 == 0 || !out));
    const PingMessage ping{*opened.flow};
    CHECK(fleet.Send(*before, ping).reached == opened.reached);
    CHECK(fleet.Send(*after, ping).reached.has_value() != out);
  }
  CHECK(after->drops()[static_cast<std::size_t>(DropReason::kZoneOut)] > 0);
  // An older view that arrives late must not take the zone back in.
  view.revision = Revision{1};
  view.zones[1].out = false;
  after->InstallView(MakeRoutingView(view, {}), fleet.clock.Now());
  const PingMessage ping{MakeToken(MakeTarget(1, kService), 1)};
  CHECK_FALSE(fleet.Send(*after, ping).reached.has_value());
}

TEST_CASE("Nothing is routed after the view lease has expired") {
  // Guards against a balancer that was paused and then routes by a stale view.
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 4));
  const PingMessage ping{MakeToken(MakeTarget(1, kService), 1)};
  router->SetLease(fleet.clock.Now() + seconds(2));
  CHECK(fleet.Send(*router, ping).reached.has_value());
  fleet.Advance(seconds(2));
  CHECK_FALSE(fleet.Send(*router, ping).reached.has_value());
  CHECK_FALSE(fleet.Open(*router).reached.has_value());
  CHECK(router->drops()[static_cast<std::size_t>(
            DropReason::kViewNotConfirmed)] == 2);
  router->SetLease(fleet.clock.Now() + seconds(2));
  CHECK(fleet.Send(*router, ping).reached.has_value());
}

TEST_CASE("Routing a packet of an established flow allocates no memory") {
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 4));
  const Bytes packet = FabricPacket(
      kService, PingMessage{MakeToken(MakeTarget(1, kService), 1)});
  const std::uint64_t before = g_allocations;
  for (int i = 0; i < 1000; ++i) {
    router->OnFabricDatagram(packet, fleet.clock.Now());
  }
  CHECK(g_allocations == before);
  CHECK(router->statistics().forwarded == 1000);
}

}  // namespace fireflytrestle
