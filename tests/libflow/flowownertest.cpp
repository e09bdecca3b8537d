#include <doctest/doctest.h>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

TEST_CASE("a flow that moves to another balancer stays with its upstream") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  REQUIRE(site.OwnerOf(tuple) != nullptr);
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(100));
  CHECK(site.AnswersTo(tuple) == 2);
  CHECK(site.resets.empty());
  CHECK(site.Decisions("flow_searched owner_unknown") == 0);
}

TEST_CASE("a flow that moves before any report is found by a search") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  site.SendRequest(1, tuple);
  site.Run(milliseconds(100));
  CHECK(site.AnswersTo(tuple) == 1);
  CHECK(site.resets.empty());
  CHECK(site.Decisions("flow_searched owner_unknown") == 1);
}

TEST_CASE(
    "a reset from an upstream without the flow does not reach the caller") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  for (const auto& agent : site.agents) {
    agent->upstream->resets_unknown = true;
  }
  site.SendRequest(1, tuple);
  site.Run(milliseconds(100));
  CHECK(site.AnswersTo(tuple) == 1);
  for (const FlowPacket& packet : site.to_callers) {
    CHECK_FALSE(packet.reset);
  }
  CHECK(site.resets.empty());
}

TEST_CASE(
    "a new balancer finds flows of an upstream that is not in the store") {
  FlowSite site(1, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  owner->listed = false;
  site.AddBalancer();
  site.Publish();
  SUBCASE("at once") {}
  SUBCASE("after the agents have reported to it") {
    site.Run(milliseconds(2000));
  }
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(200));
  site.SendRequest(1, tuple, 3);
  site.Run(milliseconds(400));
  site.SendRequest(1, tuple, 4);
  site.Run(milliseconds(800));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) >= 2);
}

// Guards against a reset of open flows (FLOW) at a service that the route no
// longer names.
TEST_CASE("a flow stays with its upstream when its route names another one") {
  FlowSite site(2, 4);
  for (const std::size_t index : {2U, 3U}) {
    site.agents[index]->entry.service = "ledger";
    site.BumpRevision(site.agents[index].get());
    site.StartAgent(index);
  }
  site.view.services["ledger"] = {};
  site.view.routes[FlowSite::kRoute].services = {{"ledger", 1}};
  site.Publish();
  site.Run(milliseconds(1500));
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  REQUIRE(site.OwnerOf(tuple) != nullptr);
  REQUIRE(site.OwnerOf(tuple)->entry.service == "ledger");
  SUBCASE("the service gets no more flows") {
    site.view.routes[FlowSite::kRoute].services = {{"counter", 1},
                                                   {"ledger", 0}};
  }
  SUBCASE("the route names another service") {
    site.view.routes[FlowSite::kRoute].services = {{"counter", 1}};
  }
  site.view.configuration_version = 2;
  site.StartBalancer(1);
  site.Publish();
  site.Run(milliseconds(2000));
  // The balancer has to search for the owner.
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == site.OwnerOf(tuple)->address &&
           to == site.balancers[1]->address;
  };
  site.StartBalancer(1);
  site.Publish();
  site.Run(milliseconds(1500));
  site.is_lost = nullptr;
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(100));
  site.SendRequest(1, tuple, 3);
  site.Run(milliseconds(400));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) >= 2);
}

// Guards against a reset of open flows (FLOW) at an upstream whose service a
// configuration has dropped, by a balancer that starts while its agent
// restarts.
TEST_CASE("a flow of a dropped service outlasts a restart of its agent") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  owner->listed = false;
  site.view.unconfigured_upstreams = {owner->entry.address.ipv4};
  ++site.view.configuration_version;
  site.Publish();
  site.Run(milliseconds(500));
  owner->tracker->BeginStop(site.clock.Now());
  site.Run(milliseconds(300));
  owner->running = false;
  site.StartBalancer(1);
  site.Publish();
  const auto send = [&] {
    for (int i = 0; i < 6; ++i) {
      site.SendRequest(1, tuple, 2);
      site.Run(milliseconds(400));
    }
  };
  send();
  CHECK(site.resets.empty());
  for (std::size_t index = 0; index < site.agents.size(); ++index) {
    if (site.agents[index].get() == owner) {
      site.StartAgent(index);
    }
  }
  send();
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) >= 2);
}

// Guards against open flows whose packets get lost, because a balancer that
// starts waits for a view with upstreams.
TEST_CASE("flows are found although all services were dropped") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  for (const auto& agent : site.agents) {
    agent->listed = false;
    site.view.unconfigured_upstreams.insert(agent->entry.address.ipv4);
  }
  ++site.view.configuration_version;
  site.Publish();
  site.Run(milliseconds(500));
  for (const std::size_t balancer : {0U, 1U}) {
    site.StartBalancer(balancer);
    site.Publish();
    site.Run(milliseconds(2000));
    CHECK(site.balancers[balancer]->router->IsServing());
  }
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against a caller that is never told that its flow is lost, because of
// an entry of another writer: no agent runs at its address.
TEST_CASE("an entry of an unknown service delays a reset for seconds only") {
  FlowSite site(2, 4);
  site.view.unconfigured_upstreams = {0x0A0200FF};
  site.Publish();
  const FlowTuple tuple = FlowSite::Tuple(1);
  SUBCASE("not at a balancer that has been running") {
    site.Run(milliseconds(5000));
    site.SendRequest(1, tuple, 2);
    site.Run(milliseconds(400));
    CHECK(site.ResetsOf(tuple) == 1);
  }
  SUBCASE("at a balancer that starts") {
    site.StartBalancer(1);
    site.Publish();
    site.Run(milliseconds(3000));
    site.SendRequest(1, tuple, 2);
    site.Run(milliseconds(400));
    CHECK(site.resets.empty());
    site.Run(milliseconds(2000));
    site.SendRequest(1, tuple, 2);
    site.Run(milliseconds(400));
    CHECK(site.ResetsOf(tuple) == 1);
  }
}

// Guards against a reset of the open flows of a live upstream (FLOW) after an
// entry of another service for its address.
TEST_CASE("an entry of another service at an address resets no open flow") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  owner->entry.service = "ledger";
  site.view.services["ledger"] = {};
  site.BumpRevision(owner);
  site.Publish();
  std::size_t balancer = 0;
  SUBCASE("at a balancer that knows the owner") {}
  SUBCASE("at a balancer that searches for the owner") {
    site.AddBalancer();
    site.Publish();
    site.Run(milliseconds(2000));
    balancer = 2;
  }
  site.SendRequest(balancer, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against a reset of open flows (FLOW) of an upstream that left the
// store, by a balancer that restarted since. The upstream's agent reports to
// neither balancer.
TEST_CASE(
    "a restarted balancer finds flows of an upstream that has left a large "
    "service") {
  constexpr std::size_t kBalancers = 24;
  FlowSite site(kBalancers, 60, 3, {2, 2});
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  owner->entry.draining = true;
  site.BumpRevision(owner);
  site.Publish();
  // No balancer needs the reports of a draining upstream after a while.
  site.Run(std::chrono::seconds(12));
  owner->listed = false;
  site.Publish();
  std::size_t balancer = 0;
  SUBCASE("restarted while the others still list the missing entry") {
    owner->listed = true;
    owner->entry.missing_since = site.clock.Now();
    site.Publish();
    owner->listed = false;
    site.StartBalancer(0);
    site.view.upstreams.erase(owner->entry.address.ipv4);
    site.balancers[0]->router->InstallView(
        std::make_shared<SiteView>(site.view), site.clock.Now());
    site.Run(milliseconds(1500));
  }
  SUBCASE("restarted one after the other") {
    for (const std::size_t restarted : {1U, 0U}) {
      site.StartBalancer(restarted);
      site.Publish();
      site.Run(milliseconds(1500));
    }
  }
  SUBCASE("restarted together with more than one message can name") {
    for (balancer = 1; balancer < kBalancers - 1; ++balancer) {
      site.StartBalancer(balancer);
    }
    balancer = kBalancers - 3;
    site.Publish();
    site.Run(milliseconds(1500));
  }
  site.SendRequest(balancer, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against a reset of open flows (FLOW) of an upstream that left the
// store while a balancer was away for longer than agents report to it.
TEST_CASE("a balancer that was away for long finds flows of a left upstream") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  site.balancers[1]->running = false;
  owner->listed = false;
  site.Publish();
  site.Run(std::chrono::seconds(35));
  site.StartBalancer(1);
  site.Publish();
  site.Run(milliseconds(1500));
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against a reset of an open flow (FLOW) whose caller's port was used by
// an earlier flow that another upstream still holds.
TEST_CASE("a flow on a port that is used again is not taken for the earlier") {
  FlowSite site(2, 2);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  FlowSite::Agent* earlier = site.OwnerOf(tuple);
  REQUIRE(earlier != nullptr);
  earlier->entry.draining = true;
  site.BumpRevision(earlier);
  site.Publish();
  FlowPacket syn = FlowSite::Packet(tuple);
  syn.syn = true;
  syn.sequence = 5000;
  site.SendFromCaller(0, syn);
  FlowPacket request = FlowSite::Packet(tuple);
  request.ack = true;
  request.sequence = 5001;
  request.acknowledgment = site.SynAckSequence(tuple) + 1;
  request.data_bytes = 10;
  std::size_t balancer = 0;
  SUBCASE("through a balancer that knows the earlier owner") {
    balancer = 1;
  }
  SUBCASE("through a balancer that searches for the owner") {
    site.StartBalancer(1);
    site.Publish();
    balancer = 1;
  }
  // Two packets: the first one may only correct the balancer's record.
  site.SendFromCaller(balancer, request);
  site.Run(milliseconds(50));
  site.SendFromCaller(balancer, request);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) >= 2);
}

TEST_CASE("a flow that no upstream holds is reset") {
  FlowSite site(1, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  FlowPacket packet = FlowSite::Packet(tuple);
  packet.ack = true;
  packet.acknowledgment = 77;
  packet.data_bytes = 10;
  site.SendFromCaller(0, packet);
  site.Run(milliseconds(50));
  CHECK(site.ResetsOf(tuple) == 1);
  CHECK(site.reset_sequences == std::vector<std::uint32_t>{77});
}

TEST_CASE(
    "a search that is incomplete because of a stale view resets no flow") {
  FlowSite site(1, 4);
  site.balancers[0]->router->ConfirmView(site.clock.Now() - milliseconds(5000));
  FlowPacket packet = FlowSite::Packet(FlowSite::Tuple(1));
  packet.ack = true;
  packet.data_bytes = 10;
  site.SendFromCaller(0, packet);
  CHECK(site.resets.empty());
}

TEST_CASE("with two SYN+ACKs the flow belongs to the acknowledged upstream") {
  FlowSite site(1, 2);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  const std::uint32_t first = site.SynAckSequence(tuple);
  site.Run(milliseconds(200));
  site.SendSyn(0, tuple);
  const std::uint32_t second = site.SynAckSequence(tuple);
  REQUIRE(site.to_callers.size() == 2);
  FlowPacket packet = FlowSite::Packet(tuple);
  packet.ack = true;
  packet.sequence = 101;
  packet.data_bytes = 10;
  SUBCASE("the first SYN+ACK is acknowledged") {
    packet.acknowledgment = first + 1;
  }
  SUBCASE("the second SYN+ACK is acknowledged") {
    packet.acknowledgment = second + 1;
  }
  site.SendFromCaller(0, packet);
  site.Run(milliseconds(150));
  CHECK(site.AnswersTo(tuple) == 1);
  std::size_t runs = 0;
  for (const auto& agent : site.agents) {
    runs += agent->upstream->started.size();
  }
  CHECK(runs == 1);
  CHECK(site.resets.empty());
}

}  // namespace fireflytrestle
