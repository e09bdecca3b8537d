#include <doctest/doctest.h>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

TEST_CASE("a draining upstream gets no new flow and keeps its open ones") {
  FlowSite site(1, 2);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  owner->entry.draining = true;
  site.BumpRevision(owner);
  site.Publish();
  const std::size_t before = owner->upstream->opened.size();
  for (std::uint32_t caller = 2; caller <= 20; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  CHECK(owner->upstream->opened.size() == before);
  site.SendRequest(0, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.AnswersTo(tuple) == 2);
  CHECK(site.resets.empty());
}

TEST_CASE("an agent returns new flows from a balancer with an old view") {
  FlowSite site(2, 2);
  FlowSite::Agent* agent = site.agents[0].get();
  SUBCASE("draining") {
    agent->entry.draining = true;
  }
  SUBCASE("zone out") {
    site.view.zones_out.insert(agent->zone);
  }
  site.BumpRevision(agent);
  // Only the second balancer gets the changed view.
  site.balancers[0]->running = false;
  site.Publish();
  site.balancers[0]->running = true;
  for (std::uint32_t caller = 1; caller <= 20; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  CHECK(agent->upstream->opened.empty());
  CHECK(site.agents[1]->upstream->opened.size() == 20);
}

TEST_CASE(
    "no packet reaches an upstream of another service at a reused address") {
  FlowSite site(1, 2);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  const std::size_t started = owner->upstream->started.size();
  owner->entry.service = "ledger";
  owner->upstream->Restart();
  for (std::size_t i = 0; i < site.agents.size(); ++i) {
    if (site.agents[i].get() == owner) {
      site.StartAgent(i);
    }
  }
  site.SendRequest(0, tuple, 2);
  for (std::uint32_t caller = 2; caller <= 10; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  CHECK(owner->upstream->started.size() == started);
  CHECK(owner->upstream->flows.empty());
}

// Guards against a SYN that runs at a service to which no configuration sends
// it (ROUTE), because the address of its agent is used by that service now.
TEST_CASE("a copy of a SYN does not reach the service that reuses an address") {
  FlowSite site(1, 1);
  FlowSite::Agent* agent = site.agents[0].get();
  agent->running = false;
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  agent->entry.service = "ledger";
  site.view.services["ledger"] = {};
  site.BumpRevision(agent);
  site.StartAgent(0);
  site.Publish();
  SUBCASE("before another placement is due") {
    site.SendSyn(0, tuple);
  }
  SUBCASE("when no other agent is left") {
    site.Run(milliseconds(200));
    site.SendSyn(0, tuple);
    site.Run(milliseconds(400));
    site.SendSyn(0, tuple);
  }
  CHECK(agent->upstream->opened.empty());
}

// Guards against a SYN that runs at another service (ROUTE), because the agent
// was paused while its upstream ended and the address came into use again.
TEST_CASE("a SYN that waited at a paused agent does not reach the upstream") {
  FlowSite site(2, 3);
  FlowSite::Agent* agent = site.agents[0].get();
  agent->paused = true;
  std::uint32_t caller = 0;
  const auto open_some = [&] {
    for (int i = 0; i < 10; ++i) {
      site.Open(0, FlowSite::Tuple(++caller));
    }
  };
  open_some();
  site.Run(milliseconds(2500));
  SUBCASE("its upstream is there") {}
  SUBCASE("another service uses the address") {
    agent->entry.service = "ledger";
    site.view.services["ledger"] = {};
    site.BumpRevision(agent);
    site.Publish();
  }
  const bool replaced = agent->entry.service != "counter";
  agent->upstream->Restart();
  agent->paused = false;
  site.DeliverAll();
  CHECK(agent->upstream->opened.empty());
  site.Run(milliseconds(500));
  for (int i = 0; i < 5; ++i) {
    open_some();
    site.Run(milliseconds(100));
  }
  CHECK(agent->upstream->opened.empty() == replaced);
}

TEST_CASE("an agent takes no flow while its address has another service") {
  FlowSite site(1, 2);
  FlowSite::Agent* agent = site.agents[0].get();
  // A balancer with an old view.
  const SocketAddress balancer{0x0A010077, FlowSite::kNodePort};
  FlowPacket syn = FlowSite::Packet(FlowSite::Tuple(1));
  syn.syn = true;
  const std::vector<std::uint8_t> bytes = PlainCodec::Encode(syn);
  const DeliverMessage message{"counter", false, {}, bytes};
  SUBCASE("a new one") {}
  SUBCASE("a copy of a SYN that the upstream before has not answered") {
    agent->upstream->unresponsive = true;
    agent->tracker->OnNodeMessage(balancer, message, site.clock.Now());
    agent->upstream->unresponsive = false;
  }
  agent->entry.service = "ledger";
  site.view.services["ledger"] = {};
  site.BumpRevision(agent);
  site.Publish();
  agent->tracker->OnNodeMessage(balancer, message, site.clock.Now());
  CHECK(agent->upstream->opened.empty());
  CHECK(site.Decisions("open_returned wrong_service") == 1);
}

// Guards against requests on open flows that wait at a live upstream, because
// an entry of another service for its address has fewer slots.
TEST_CASE("an agent takes no slots from an entry of another service") {
  constexpr std::uint32_t kSlots = 8;
  FlowSite site(1, 1, kSlots);
  for (std::uint32_t caller = 1; caller <= kSlots; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(500));
  FlowSite::Agent* agent = site.agents[0].get();
  REQUIRE(agent->tracker->running() == 0);
  agent->entry.service = "ledger";
  agent->entry.slots = 1;
  site.view.services["ledger"] = {};
  site.BumpRevision(agent);
  site.Publish();
  site.Run(milliseconds(500));
  for (std::uint32_t caller = 1; caller <= kSlots; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller), 2);
  }
  CHECK(agent->tracker->running() == kSlots);
  CHECK(agent->tracker->waiting() == 0);
}

// Guards against a reset of an open flow (FLOW) by a balancer that has not got
// the configuration with the flow's route yet.
TEST_CASE("an open flow of a route that a balancer does not know is kept") {
  constexpr SocketAddress kNewRoute{0xC6120001, 8443};
  FlowSite site(2, 2);
  RouteSettings route = site.view.routes.at(FlowSite::kRoute);
  route.address = kNewRoute;
  site.view.routes[kNewRoute] = route;
  site.view.configuration_version = 2;
  site.balancers[0]->running = false;
  site.Publish();
  site.balancers[0]->running = true;
  const FlowTuple tuple = FlowSite::Tuple(1, kNewRoute);
  site.Open(1, tuple);
  site.SendRequest(0, tuple, 2);
  CHECK(site.resets.empty());
  site.Publish();
  site.SendRequest(0, tuple, 2);
  site.Run(milliseconds(100));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

TEST_CASE("a flow of a route that a configuration drops is reset") {
  FlowSite site(2, 2);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.view.routes.erase(FlowSite::kRoute);
  site.view.dropped_routes.insert(FlowSite::kRoute);
  site.view.configuration_version = 2;
  site.Publish();
  site.SendRequest(1, tuple, 2);
  CHECK(site.ResetsOf(tuple) == 1);
}

TEST_CASE("a flow to a route that does not exist is reset at once") {
  FlowSite site(1, 2);
  const FlowTuple tuple = FlowSite::Tuple(1, {0xC6120001, 9999});
  site.SendSyn(0, tuple);
  CHECK(site.ResetsOf(tuple) == 1);
  CHECK(site.Decisions("flow_reset no_route") == 1);
}

// Guards against a cold upstream that gets all flows at once (FAILBACK),
// because its entry arrived before the configuration with its rate.
TEST_CASE("the rate of a cold upstream holds if its entry is known first") {
  constexpr std::size_t kRate = 10;
  FlowSite site(1, 1);
  FlowSite::Agent* cold = site.agents[0].get();
  cold->entry.cold_left = milliseconds(5000);
  site.BumpRevision(cold);
  const auto routes = std::exchange(site.view.routes, {});
  site.view.configuration_version = 0;
  site.StartBalancer(0);
  site.StartAgent(0);
  site.Publish();
  site.Run(milliseconds(500));
  site.view.routes = routes;
  site.view.services["counter"].cold_rate = kRate;
  site.view.configuration_version = 2;
  site.Publish();
  for (std::uint32_t caller = 1; caller <= 100; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
    site.Run(milliseconds(20));
  }
  const auto& opened = cold->upstream->opened;
  REQUIRE(opened.size() > kRate);
  for (std::size_t i = 0; i + kRate < opened.size(); ++i) {
    CHECK(opened[i + kRate] - opened[i] >= std::chrono::seconds(1));
  }
}

TEST_CASE("a cold upstream gets flows at no more than its configured rate") {
  constexpr std::size_t kRate = 10;
  FlowSite site(4, 2);
  FlowSite::Agent* cold = site.agents[0].get();
  cold->entry.cold_left = milliseconds(5000);
  site.BumpRevision(cold);
  site.view.services["counter"].cold_rate = kRate;
  site.Publish();
  // The other upstream is draining, so that all flows go to the cold one.
  site.agents[1]->entry.draining = true;
  site.BumpRevision(site.agents[1].get());
  site.Publish();
  std::uint32_t caller = 0;
  const auto press = [&](Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(20)) {
      for (std::size_t balancer = 0; balancer < 4; ++balancer) {
        site.Open(balancer, FlowSite::Tuple(++caller));
      }
      site.Run(milliseconds(20));
    }
  };
  press(milliseconds(1500));
  SUBCASE("the agent stays") {}
  SUBCASE("the agent restarts") {
    site.StartAgent(0);
  }
  site.Publish();
  press(milliseconds(2000));
  const auto& opened = cold->upstream->opened;
  REQUIRE(opened.size() > kRate);
  for (std::size_t i = 0; i + kRate < opened.size(); ++i) {
    CHECK(opened[i + kRate] - opened[i] >= std::chrono::seconds(1));
  }
}

}  // namespace fireflytrestle
