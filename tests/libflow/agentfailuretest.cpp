#include <doctest/doctest.h>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

/// Time within which a lost agent must be detected and flows without an owner
/// must be reset.
constexpr milliseconds kResetDeadline{450};

}  // namespace

TEST_CASE(
    "a silent agent's idempotent flows are reset, non-idempotent ones are "
    "not") {
  FlowSite site(2, 4);
  std::vector<FlowTuple> flows;
  for (std::uint32_t caller = 1; caller <= 8; ++caller) {
    flows.push_back(FlowSite::Tuple(caller));
    site.Open(0, flows.back());
  }
  const FlowTuple non_idempotent =
      FlowSite::Tuple(100, FlowSite::kNonIdempotentRoute);
  site.Open(1, non_idempotent);
  site.Run(milliseconds(300));
  FlowSite::Agent* lost = site.OwnerOf(non_idempotent);
  REQUIRE(lost != nullptr);
  lost->running = false;
  site.Run(kResetDeadline);
  for (const FlowTuple& flow : flows) {
    CHECK(site.ResetsOf(flow) == (site.OwnerOf(flow) == lost ? 1 : 0));
  }
  CHECK(site.ResetsOf(non_idempotent) == 0);
}

// Guards against resets of open flows (FLOW) whose agent runs, while its
// reports are lost.
TEST_CASE("three reports that are lost in a row reset no flow") {
  for (milliseconds offset{0}; offset < milliseconds(100);
       offset += milliseconds(5)) {
    CAPTURE(offset.count());
    FlowSite site(1, 3);
    const FlowTuple tuple = FlowSite::Tuple(1);
    site.Open(0, tuple);
    site.Run(milliseconds(300) + offset);
    const SocketAddress owner = site.OwnerOf(tuple)->address;
    int lost = 0;
    site.is_lost = [&](const SocketAddress& from, const SocketAddress&) {
      return from == owner && lost++ < 3;
    };
    site.Run(milliseconds(1000));
    REQUIRE(lost > 3);
    CHECK(site.resets.empty());
    site.SendRequest(0, tuple, 2);
    site.Run(milliseconds(200));
    CHECK(site.AnswersTo(tuple) == 2);
  }
}

// Guards against a reset of an open flow (FLOW) by a balancer that no longer
// carries it and that gets no reports of its agent, which runs.
TEST_CASE("a balancer does not reset a flow that has moved to another one") {
  FlowSite site(2, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  for (std::uint32_t request = 2; request < 20; ++request) {
    site.SendRequest(1, tuple, request);
    site.Run(milliseconds(200));
  }
  const SocketAddress owner = site.OwnerOf(tuple)->address;
  const SocketAddress before = site.balancers[0]->address;
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == owner && to == before;
  };
  site.Run(milliseconds(2000));
  CHECK(site.resets.empty());
  site.SendRequest(1, tuple, 20);
  site.Run(milliseconds(200));
  CHECK(site.AnswersTo(tuple) == 20);
}

// Guards against callers that learn of a lost agent too late to try again,
// because the balancer asks the agent first.
TEST_CASE("the flows of a lost agent are reset in time at every moment") {
  for (milliseconds offset{0}; offset < milliseconds(100);
       offset += milliseconds(5)) {
    CAPTURE(offset.count());
    FlowSite site(1, 4);
    const FlowTuple tuple = FlowSite::Tuple(1);
    site.Open(0, tuple);
    site.Run(milliseconds(300) + offset);
    site.OwnerOf(tuple)->running = false;
    site.Run(kResetDeadline);
    CHECK(site.ResetsOf(tuple) == 1);
    CHECK(site.Decisions("peer_phase overdue") == 1);
  }
}

// Guards against queries that add to the load of a path that fails already.
TEST_CASE("a balancer that is cut off queries no agent again and again") {
  FlowSite site(1, 10);
  site.is_lost = [&](const SocketAddress&, const SocketAddress& to) {
    return to == site.balancers[0]->address;
  };
  site.Run(std::chrono::seconds(5));
  CHECK(site.liveness_queries <= 2 * site.agents.size());
  site.is_lost = nullptr;
  site.Run(milliseconds(1000));
  site.liveness_queries = 0;
  site.agents[0]->running = false;
  site.Run(std::chrono::seconds(5));
  CHECK(site.liveness_queries >= 2);
  CHECK(site.liveness_queries <= 3);
}

// Guards against queries that multiply the messages on a path that is slow
// because it has too many: answers to them are as late as the reports.
TEST_CASE("reports that are late in general cause few queries") {
  constexpr std::size_t kAgents = 10;
  FlowSite site(1, kAgents);
  std::size_t reports = 0;
  site.delay = [&](const SocketAddress&, const SocketAddress& to) -> Duration {
    if (to != site.balancers[0]->address) {
      return {};
    }
    ++reports;
    constexpr Duration kBurstInterval = milliseconds(300);
    return kBurstInterval -
           site.clock.Now().time_since_epoch() % kBurstInterval;
  };
  site.Run(std::chrono::seconds(10));
  CHECK(site.liveness_queries <= reports / 10);
}

TEST_CASE("new flows are not placed on a silent agent") {
  FlowSite site(1, 3);
  site.agents[0]->running = false;
  site.Run(kResetDeadline);
  for (std::uint32_t caller = 1; caller <= 30; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  CHECK(site.agents[0]->upstream->opened.empty());
}

TEST_CASE("a balancer that was paused does not treat agents as silent") {
  FlowSite site(1, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  // The balancer is paused while reports are lost.
  site.clock.Advance(std::chrono::seconds(3));
  site.balancers[0]->router->OnTick(site.clock.Now());
  site.SendRequest(0, tuple, 2);
  CHECK(site.resets.empty());
  site.Run(milliseconds(1000));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against resets of open flows (FLOW) by a balancer that handles
// callers' packets before anything else when it runs again: the silence of an
// agent that it knows of is as old as the pause.
TEST_CASE("a balancer that was paused does not act on silence from before") {
  FlowSite site(2, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(1, tuple);
  site.Run(milliseconds(300));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return (from == owner->address && to == site.balancers[0]->address) ||
           (to == owner->address && from == site.balancers[0]->address);
  };
  site.Run(kResetDeadline);
  const AgentTable& table = site.balancers[0]->router->agents();
  REQUIRE(table.Find(owner->address)->silent());
  site.balancers[0]->running = false;
  site.is_lost = nullptr;
  site.Run(std::chrono::seconds(1));
  site.balancers[0]->running = true;
  site.SendRequest(0, tuple, 2);
  site.Run(std::chrono::seconds(1));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 2);
}

TEST_CASE(
    "a balancer that receives no reports does not treat agents as silent") {
  FlowSite site(1, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  site.is_lost = [&](const SocketAddress&, const SocketAddress& to) {
    return to == site.balancers[0]->address;
  };
  site.Run(std::chrono::seconds(3));
  CHECK(site.resets.empty());
}

TEST_CASE(
    "a balancer that is cut off from the network does not count as serving") {
  FlowSite site(2, 4);
  CHECK(site.balancers[0]->router->IsServing());
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == site.balancers[0]->address ||
           to == site.balancers[0]->address;
  };
  site.Run(kResetDeadline);
  CHECK_FALSE(site.balancers[0]->router->IsServing());
  CHECK(site.balancers[1]->router->IsServing());
  site.is_lost = nullptr;
  site.Run(kResetDeadline);
  CHECK(site.balancers[0]->router->IsServing());
}

// Guards against resets of open flows (FLOW) by a balancer whose path to all
// agents is held up: the first reports that arrive again show a quorum, and the
// agents whose reports come last do not.
TEST_CASE("a path that holds all reports up for a while resets no flow") {
  constexpr std::size_t kAgents = 10;
  milliseconds first{300};
  milliseconds spread{40};
  SUBCASE("for 300 to 660 ms") {}
  SUBCASE("for 600 to 960 ms") {
    first = milliseconds(600);
  }
  SUBCASE("for 3000 to 3360 ms") {
    first = milliseconds(3000);
  }
  SUBCASE("for 100 to 640 ms") {
    first = milliseconds(100);
    spread = milliseconds(60);
  }
  for (milliseconds offset{0}; offset < milliseconds(100);
       offset += milliseconds(10)) {
    CAPTURE(offset.count());
    FlowSite site(1, kAgents);
    std::vector<FlowTuple> flows;
    for (std::uint32_t caller = 1; caller <= 3 * kAgents; ++caller) {
      flows.push_back(FlowSite::Tuple(caller));
      site.Open(0, flows.back());
    }
    site.Run(milliseconds(300) + offset);
    const TimePoint began = site.clock.Now();
    site.delay = [&](const SocketAddress& from,
                     const SocketAddress& to) -> Duration {
      if (to != site.balancers[0]->address) {
        return {};
      }
      const auto index = from.ipv4 - site.agents[0]->address.ipv4;
      const TimePoint end = began + first + index * spread;
      return std::max<Duration>(end - site.clock.Now(), Duration{});
    };
    site.Run(std::chrono::seconds(6));
    CHECK(site.resets.empty());
    // A loss is detected in time again.
    FlowSite::Agent* lost = site.OwnerOf(flows[0]);
    lost->running = false;
    site.Run(kResetDeadline);
    CHECK(site.ResetsOf(flows[0]) == 1);
  }
}

// Guards against a balancer that takes the loss of many agents for lateness of
// all reports.
TEST_CASE("the loss of many agents at once is detected in time") {
  constexpr std::size_t kAgents = 12;
  std::size_t lost = 0;
  SUBCASE("one zone of four") {
    lost = kAgents / 4;
  }
  SUBCASE("a third") {
    lost = kAgents / 3;
  }
  SUBCASE("half") {
    lost = kAgents / 2;
  }
  for (milliseconds offset{0}; offset < milliseconds(100);
       offset += milliseconds(10)) {
    CAPTURE(offset.count());
    FlowSite site(2, kAgents, 3, {1, 4});
    std::vector<FlowTuple> flows;
    for (std::uint32_t caller = 1; caller <= 3 * kAgents; ++caller) {
      flows.push_back(FlowSite::Tuple(caller));
      site.Open(0, flows.back());
    }
    site.Run(milliseconds(300) + offset);
    for (std::size_t i = 0; i < lost; ++i) {
      // The agents of one zone follow each other at a distance of four.
      site.agents[i * 4 % kAgents + i * 4 / kAgents]->running = false;
    }
    site.Run(kResetDeadline);
    for (const FlowTuple& flow : flows) {
      CHECK(site.ResetsOf(flow) == (site.OwnerOf(flow)->running ? 0 : 1));
    }
  }
}

// The same for the whole zone of a balancer that gets frequent reports from
// its own zone only.
TEST_CASE("the loss of the balancer's own zone is detected in time") {
  FlowSite site(6, 120, 3, {3, 3});
  std::vector<FlowTuple> flows;
  for (std::uint32_t caller = 1; caller <= 90; ++caller) {
    flows.push_back(FlowSite::Tuple(caller));
    site.Open(caller % 2 * 3, flows.back());
    site.Run(milliseconds(10));
  }
  site.Run(milliseconds(300));
  std::size_t lost = 0;
  for (const auto& agent : site.agents) {
    agent->running = agent->zone != "a";
  }
  site.Run(kResetDeadline);
  for (const FlowTuple& flow : flows) {
    const bool is_lost = !site.OwnerOf(flow)->running;
    lost += is_lost ? 1 : 0;
    CHECK((site.ResetsOf(flow) > 0) == is_lost);
  }
  CHECK(lost > 0);
}

TEST_CASE("a balancer keeps serving while agents are lost one by one") {
  FlowSite site(1, 4);
  site.agents[0]->running = false;
  site.Run(kResetDeadline);
  CHECK(site.balancers[0]->router->IsServing());
  // The quorum counts only agents that are not marked as silent, so that it
  // holds if agents are lost one by one.
  site.agents[1]->running = false;
  site.Run(kResetDeadline);
  CHECK(site.balancers[0]->router->IsServing());
}

TEST_CASE("an announced restart of an agent resets no flow") {
  FlowSite site(2, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  REQUIRE(owner != nullptr);
  owner->tracker->BeginStop(site.clock.Now());
  site.DeliverAll();
  owner->running = false;
  site.Run(milliseconds(1500));
  for (std::size_t i = 0; i < site.agents.size(); ++i) {
    if (site.agents[i].get() == owner) {
      site.StartAgent(i);
    }
  }
  site.Run(milliseconds(300));
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.AnswersTo(tuple) == 2);
  CHECK(site.resets.empty());
}

// Guards against resets of open flows (FLOW) of an agent that is stopped again
// right after its restart: it has reported to its seed, but knows only another
// balancer, and would announce the stop to that one alone.
TEST_CASE("an agent that stops right after its start announces it to seeds") {
  FlowSite site(2, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  const std::size_t index = owner->address.ipv4 - site.agents[0]->address.ipv4;
  const auto restart_after = [&](milliseconds away) {
    owner->tracker->BeginStop(site.clock.Now());
    site.Run(FlowTracker::kNoticeTime);
    owner->running = false;
    site.Run(away);
    site.StartAgent(index);
  };
  restart_after(milliseconds(1500));
  // The seed's messages to the new run are lost.
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == site.balancers[0]->address && to == owner->address;
  };
  BalancerHeartbeat heartbeat;
  heartbeat.incarnation = Incarnation{1};
  site.Run(milliseconds(50));
  owner->tracker->OnNodeMessage(site.balancers[1]->address, heartbeat,
                                site.clock.Now());
  restart_after(milliseconds(1500));
  site.is_lost = nullptr;
  site.Run(milliseconds(500));
  CHECK(site.resets.empty());
  site.SendRequest(0, tuple, 2);
  site.Run(milliseconds(200));
  CHECK(site.AnswersTo(tuple) == 2);
}

// Guards against resets of open flows (FLOW) of an agent that is restarted as
// planned, by a balancer that none of its notices reaches.
TEST_CASE("a planned stop whose notices to one balancer are lost resets none") {
  FlowSite site(2, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  FlowSite::Agent* owner = site.OwnerOf(tuple);
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == owner->address && to == site.balancers[0]->address;
  };
  owner->tracker->BeginStop(site.clock.Now());
  site.Run(FlowTracker::kNoticeTime);
  owner->running = false;
  site.is_lost = nullptr;
  site.Run(milliseconds(1500));
  CHECK(site.resets.empty());
}

// Guards against callers that learn of a crash too late, because a balancer
// that has not heard of the agent's next run says that the agent is stopping.
TEST_CASE("the notice of an earlier stop does not hide a crash") {
  FlowSite site(2, 3);
  FlowSite::Agent* owner = site.agents[0].get();
  owner->tracker->BeginStop(site.clock.Now());
  site.Run(FlowTracker::kNoticeTime);
  owner->running = false;
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == owner->address && to == site.balancers[1]->address;
  };
  site.Run(milliseconds(2000));
  site.StartAgent(0);
  site.Run(milliseconds(500));
  FlowTuple tuple;
  for (std::uint32_t caller = 1; site.OwnerOf(tuple) != owner; ++caller) {
    REQUIRE(caller < 100);
    tuple = FlowSite::Tuple(caller);
    site.Open(0, tuple);
  }
  site.Run(milliseconds(300));
  owner->running = false;
  site.Run(milliseconds(450));
  CHECK(site.ResetsOf(tuple) == 1);
}

// Guards against resets of open flows (FLOW) of an agent that is restarted as
// planned, by a balancer that asks it for reports only then.
TEST_CASE("balancers that want no reports learn that an agent stops") {
  constexpr std::size_t kBalancer = 3;
  FlowSite site(6, 120, 3, {3, 3});
  const AgentTable& table = site.balancers[kBalancer]->router->agents();
  // A flow that another balancer of the zone opened at an agent outside the
  // subset of this one.
  FlowTuple tuple;
  FlowSite::Agent* owner = nullptr;
  for (std::uint32_t caller = 1; owner == nullptr; ++caller) {
    tuple = FlowSite::Tuple(caller);
    site.Open(0, tuple);
    site.Run(milliseconds(200));
    if (!table.Find(site.OwnerOf(tuple)->address)->reports_wanted()) {
      owner = site.OwnerOf(tuple);
    }
  }
  site.SendRequest(kBalancer, tuple, 2);
  site.Run(std::chrono::seconds(12));
  REQUIRE_FALSE(table.Find(owner->address)->reports_wanted());
  owner->tracker->BeginStop(site.clock.Now());
  SUBCASE("the first notice arrives") {
    site.DeliverAll();
  }
  SUBCASE("the first notice is lost") {
    site.is_lost = [&](const SocketAddress& from, const SocketAddress&) {
      return from == owner->address;
    };
    site.DeliverAll();
    site.is_lost = nullptr;
    site.Run(FlowTracker::kNoticeTime);
  }
  owner->running = false;
  site.SendRequest(kBalancer, tuple, 3);
  site.Run(milliseconds(1500));
  for (std::size_t i = 0; i < site.agents.size(); ++i) {
    if (site.agents[i].get() == owner) {
      site.StartAgent(i);
    }
  }
  site.Run(milliseconds(300));
  site.SendRequest(kBalancer, tuple, 3);
  site.Run(milliseconds(200));
  CHECK(site.resets.empty());
  CHECK(site.AnswersTo(tuple) == 3);
}

TEST_CASE("a flow that its upstream has lost is reset at its next packet") {
  FlowSite site(1, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  site.OwnerOf(tuple)->upstream->Restart();
  site.SendRequest(0, tuple, 2);
  CHECK(site.ResetsOf(tuple) == 1);
}

TEST_CASE("a copy of an unanswered SYN goes to another agent") {
  FlowSite site(1, 2);
  for (const auto& agent : site.agents) {
    agent->upstream->unresponsive = true;
  }
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  for (const auto& agent : site.agents) {
    agent->upstream->unresponsive = false;
  }
  site.Run(milliseconds(200));
  site.SendSyn(0, tuple);
  CHECK(site.SynAckSequence(tuple) != 0);
  CHECK(site.Decisions("flow_placed_again least_load") == 1);
}

TEST_CASE(
    "a returned SYN goes to the next agent and is reset if none is left") {
  FlowSite site(1, 3);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.agents[0]->upstream->bounces_syns = true;
  site.agents[1]->upstream->bounces_syns = true;
  SUBCASE("one agent is left") {
    site.Open(0, tuple);
    CHECK(site.OwnerOf(tuple) == site.agents[2].get());
    CHECK(site.resets.empty());
  }
  SUBCASE("no agent is left") {
    site.agents[2]->upstream->bounces_syns = true;
    site.SendSyn(0, tuple);
    CHECK(site.ResetsOf(tuple) == 1);
  }
}

TEST_CASE("a SYN that a slow upstream has yet to answer is not reset") {
  // The first upstream answers only after callers send their first copy, and
  // the second one returns that copy.
  FlowSite site(1, 2);
  FlowSite::Agent* slow = site.agents[0].get();
  site.agents[1]->upstream->bounces_syns = true;
  site.delayed = slow;
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  REQUIRE(slow->upstream->opened.size() == 1);
  site.Run(milliseconds(200));
  site.SendSyn(0, tuple);
  CHECK(site.resets.empty());
  SUBCASE("its answer opens the flow") {
    site.ReleaseUpstreamPackets();
    site.SendRequest(0, tuple);
    site.Run(milliseconds(100));
    CHECK(site.AnswersTo(tuple) == 1);
    CHECK(site.resets.empty());
  }
  SUBCASE("its agent is lost before it answers") {
    slow->running = false;
    site.Run(milliseconds(450));
    site.SendSyn(0, tuple);
    CHECK(site.ResetsOf(tuple) == 1);
  }
}

// Guards against a reset of an open flow (FLOW) whose SYN was sent again, and
// opened the flow through another balancer.
TEST_CASE(
    "a copy of a SYN that cannot be served is not answered with a reset") {
  FlowSite site(1, 1);
  FlowPacket syn = FlowSite::Packet(FlowSite::Tuple(1));
  syn.syn = true;
  SUBCASE("on a route that the balancer does not know") {
    syn.destination.port = 1;
  }
  SUBCASE("without an agent") {
    site.agents[0]->upstream->bounces_syns = true;
  }
  const FlowTuple tuple{syn.source, syn.destination};
  syn.acknowledgment = 1;
  site.SendFromCaller(0, syn);
  CHECK(site.ResetsOf(tuple) == 0);
  syn.acknowledgment = 0;
  syn.sequence = 1000;
  site.SendFromCaller(0, syn);
  CHECK(site.ResetsOf(tuple) == 1);
}

}  // namespace fireflytrestle
