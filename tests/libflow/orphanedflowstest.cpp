#include <doctest/doctest.h>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kCallers = 20;
/// Callers repeat an unanswered packet after this long.
constexpr milliseconds kCopyAfter{200};

void OpenFlows(FlowSite* site) {
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    site->Open(caller % 2, FlowSite::Tuple(caller));
  }
  site->Run(milliseconds(300));
}

/// Sends a request in every flow that was not reset, and repeats those that are
/// not answered.
void UseFlows(FlowSite* site, std::uint32_t request) {
  for (int copy = 0; copy < 2; ++copy) {
    for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
      const FlowTuple tuple = FlowSite::Tuple(caller);
      if (site->ResetsOf(tuple) == 0 && site->AnswersTo(tuple) < request) {
        site->SendRequest(caller % 2, tuple, request);
      }
    }
    site->Run(kCopyAfter);
  }
}

/// Ends all processes and starts the balancers and the first \p agents agents
/// again. The view is published 1.4 s later.
void RestartProcesses(FlowSite* site, std::size_t agents) {
  for (std::size_t i = 0; i < site->agents.size(); ++i) {
    site->agents[i]->running = false;
    if (i < agents) {
      site->StartAgent(i);
    }
  }
  site->StartBalancer(0);
  site->StartBalancer(1);
  site->clock.Advance(milliseconds(1400));
  site->Publish();
}

/// Sends a packet of a flow that no upstream holds.
FlowTuple SendOrphanedPacket(FlowSite* site,
                             std::uint32_t number = 0,
                             std::size_t balancer = 0) {
  const FlowTuple tuple = FlowSite::Tuple(900 + number);
  FlowPacket packet = FlowSite::Packet(tuple);
  packet.ack = true;
  packet.data_bytes = 10;
  site->SendFromCaller(balancer, packet);
  return tuple;
}

}  // namespace

TEST_CASE("every flow is reset once after all instances have lost power") {
  // The store still lists the upstreams as they were before they restarted.
  FlowSite site(2, 4);
  OpenFlows(&site);
  std::size_t back = 0;
  SUBCASE("all agents come back") {
    back = 4;
  }
  SUBCASE("one agent does not come back") {
    back = 3;
  }
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
  }
  RestartProcesses(&site, back);
  site.Run(milliseconds(200));
  UseFlows(&site, 2);
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    CHECK(site.ResetsOf(FlowSite::Tuple(caller)) == 1);
  }
}

// Guards against seconds of silence after a loss of power: agents that cannot
// know the flows of their upstreams pass the packets on to them instead of
// answering.
TEST_CASE(
    "callers learn at their next packet that a loss of power ended flows") {
  FlowSite site(2, 4);
  OpenFlows(&site);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
    agent->entry.started_unix_ms =
        static_cast<std::uint64_t>(site.WallNow().time_since_epoch().count());
    agent->entry.cold_left = milliseconds(2000);
    site.BumpRevision(agent.get());
  }
  RestartProcesses(&site, site.agents.size());
  site.Run(milliseconds(200));
  const std::size_t delivered = site.delivered;
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    site.SendRequest(caller % 2, FlowSite::Tuple(caller), 2);
  }
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    CHECK(site.ResetsOf(FlowSite::Tuple(caller)) == 1);
  }
  CHECK(site.delivered == delivered);
}

TEST_CASE("flows of running upstreams survive a kill of all other processes") {
  FlowSite site(2, 4);
  OpenFlows(&site);
  RestartProcesses(&site, site.agents.size());
  site.Run(milliseconds(50));
  UseFlows(&site, 2);
  CHECK(site.resets.empty());
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    CHECK(site.AnswersTo(FlowSite::Tuple(caller)) == 2);
  }
}

TEST_CASE(
    "flows lost by some upstreams do not reset flows of an unlisted one") {
  FlowSite site(2, 4);
  OpenFlows(&site);
  const FlowTuple kept = FlowSite::Tuple(1);
  FlowSite::Agent* unlisted = site.OwnerOf(kept);
  REQUIRE(unlisted != nullptr);
  unlisted->listed = false;
  // Two upstreams crash while a balancer restarts. The unlisted upstream keeps
  // its flows.
  std::size_t crashed = 0;
  for (const auto& agent : site.agents) {
    if (agent.get() != unlisted && crashed < 2) {
      agent->upstream->Restart();
      ++crashed;
    }
  }
  site.StartBalancer(1);
  site.Publish();
  UseFlows(&site, 2);
  CHECK(site.ResetsOf(kept) == 0);
  CHECK(site.AnswersTo(kept) == 2);
}

TEST_CASE(
    "a search waits for a lost agent only while its upstream is registered") {
  FlowSite site(1, 4);
  site.agents[2]->running = false;
  site.StartBalancer(0);
  site.Publish();
  site.Run(milliseconds(2000));
  SUBCASE("its registration is missing") {
    site.agents[2]->entry.missing_since = site.clock.Now();
    site.Publish();
    CHECK(site.ResetsOf(SendOrphanedPacket(&site)) == 1);
  }
  SUBCASE("it is registered, so that its agent may come back") {
    CHECK(site.ResetsOf(SendOrphanedPacket(&site)) == 0);
  }
}

TEST_CASE("a search does not wait for an agent that became silent before") {
  FlowSite site(1, 4);
  site.agents[2]->running = false;
  site.Run(milliseconds(1000));
  CHECK(site.ResetsOf(SendOrphanedPacket(&site)) == 1);
}

TEST_CASE("a search does not wait for an agent whose upstream has ended") {
  FlowSite site(1, 4);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  FlowSite::Agent* removed = site.OwnerOf(tuple);
  REQUIRE(removed != nullptr);
  SUBCASE("the agent reports it when it stops") {
    removed->tracker->OnUpstreamDown(site.clock.Now());
    removed->tracker->BeginStop(site.clock.Now());
    site.DeliverAll();
    removed->running = false;
    CHECK(site.ResetsOf(tuple) == 1);
    CHECK(site.ResetsOf(SendOrphanedPacket(&site)) == 1);
  }
  SUBCASE("an agent that restarts beside its running upstream is waited for") {
    removed->tracker->BeginStop(site.clock.Now());
    site.DeliverAll();
    removed->running = false;
    CHECK(site.ResetsOf(tuple) == 0);
    CHECK(site.ResetsOf(SendOrphanedPacket(&site)) == 0);
  }
}

// Guards against lost flows whose callers are told too late or never, because a
// search waits for the answer of a balancer that has ended, too.
TEST_CASE("a search waits for a balancer that has ended for 450 ms at most") {
  FlowSite site(2, 4);
  site.Run(milliseconds(2000));
  site.balancers[1]->running = false;
  const FlowTuple tuple = SendOrphanedPacket(&site);
  CHECK(site.ResetsOf(tuple) == 0);
  site.Run(milliseconds(450));
  CHECK(site.ResetsOf(tuple) == 1);
  // Later searches do not wait for it.
  CHECK(site.ResetsOf(SendOrphanedPacket(&site, 1)) == 1);
}

TEST_CASE("pattern: after an outage of everything few flows are searched for") {
  // Searching 60 agents for each flow would use up the links of the balancers
  // while callers reconnect.
  constexpr std::size_t kAgents = 60;
  FlowSite site(2, kAgents);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
  }
  RestartProcesses(&site, kAgents);
  site.Run(milliseconds(200));
  site.delivered = 0;
  for (std::uint32_t number = 0; number < 100; ++number) {
    SendOrphanedPacket(&site, number);
  }
  // A flow that opens now, and moves before any report, is not lost.
  const FlowTuple fresh = FlowSite::Tuple(1);
  site.SendSyn(1, fresh);
  site.SendRequest(1, fresh);
  site.SendRequest(0, fresh, 2);
  site.Run(kCopyAfter);
  for (std::uint32_t number = 0; number < 100; ++number) {
    if (site.ResetsOf(FlowSite::Tuple(900 + number)) == 0) {
      SendOrphanedPacket(&site, number);
    }
  }
  site.Run(kCopyAfter);
  CHECK(site.delivered <= 12 * kAgents + 10);
  for (std::uint32_t number = 0; number < 100; ++number) {
    CHECK(site.ResetsOf(FlowSite::Tuple(900 + number)) == 1);
  }
  CHECK(site.ResetsOf(fresh) == 0);
  CHECK(site.AnswersTo(fresh) == 2);
}

// Guards against FLOW: a balancer that is restarted as planned resets flows of
// agents that are being restarted, too, since no other upstream has old ones.
TEST_CASE(
    "flows are not lost together while another balancer has kept running") {
  FlowSite site(1, 4);
  site.Run(milliseconds(3000));
  site.AddBalancer();
  site.Publish();
  site.Run(milliseconds(400));
  site.agents[0]->running = false;
  for (std::uint32_t number = 0; number < 20; ++number) {
    SendOrphanedPacket(&site, number, 1);
    site.Run(milliseconds(20));
  }
  CHECK(site.resets.empty());
}

// Guards against callers who wait for the end of a search until their next
// packet: agents that did not know their upstreams' starts when they were asked
// learn them from the store a moment later.
TEST_CASE("searches go on when agents learn that their upstreams are new") {
  FlowSite site(2, 4);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
  }
  RestartProcesses(&site, site.agents.size());
  site.Run(milliseconds(50));
  const FlowTuple tuple = SendOrphanedPacket(&site);
  site.Run(milliseconds(50));
  REQUIRE(site.resets.empty());
  for (const auto& agent : site.agents) {
    agent->entry.started_unix_ms =
        static_cast<std::uint64_t>(site.WallNow().time_since_epoch().count());
    agent->entry.cold_left = milliseconds(2000);
    site.BumpRevision(agent.get());
  }
  site.Publish();
  site.Run(milliseconds(100));
  CHECK(site.ResetsOf(tuple) == 1);
}

// Guards against FLOW (b): all balancers ask an agent again at the same moment,
// and probe upstreams, although it knows no more than before.
TEST_CASE(
    "agents that only wait no longer for a handover are not asked again") {
  FlowSite site(2, 4);
  RestartProcesses(&site, site.agents.size());
  site.Run(milliseconds(50));
  SendOrphanedPacket(&site);
  site.Run(milliseconds(500));
  const std::size_t queried = site.agents_queried;
  REQUIRE(queried >= site.agents.size());
  site.Run(milliseconds(4000));
  CHECK(site.agents_queried == queried);
}

// Guards against callers who wait for 500 ms because the first searches of a
// recovery, whose result the others wait for, have all found an owner.
TEST_CASE("pattern: searches that find an owner make room for others") {
  constexpr std::size_t kAgents = 60;
  FlowSite site(2, kAgents);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
    agent->entry.started_unix_ms =
        static_cast<std::uint64_t>(site.WallNow().time_since_epoch().count());
    agent->entry.cold_left = milliseconds(4000);
    site.BumpRevision(agent.get());
  }
  RestartProcesses(&site, kAgents);
  site.Run(milliseconds(200));
  site.agents_queried = 0;
  // Flows that open now and move before any report.
  for (std::uint32_t caller = 1; caller <= 12; ++caller) {
    site.Open(1, FlowSite::Tuple(caller));
    site.SendRequest(0, FlowSite::Tuple(caller), 2);
  }
  for (std::uint32_t number = 0; number < 100; ++number) {
    SendOrphanedPacket(&site, number);
  }
  site.Run(milliseconds(150));
  CHECK(site.agents_queried <= 2 * 12 * kAgents);
  for (std::uint32_t number = 0; number < 100; ++number) {
    CHECK(site.ResetsOf(FlowSite::Tuple(900 + number)) == 1);
  }
}

// Guards against FLOW: a balancer that has just started takes planned restarts
// of all agents, whose handovers are lost, for an outage and sends the packets
// of an open flow to all upstreams.
TEST_CASE(
    "restarts of all agents are no outage while a balancer keeps running") {
  FlowSite site(1, 8);
  site.Run(milliseconds(3000));
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  const FlowSite::Agent* owner = site.OwnerOf(tuple);
  // The new balancer does not hear of the flow.
  site.is_lost = [&](const SocketAddress& from, const SocketAddress& to) {
    return from == owner->address && to != site.balancers[0]->address;
  };
  site.AddBalancer();
  site.Publish();
  site.Run(milliseconds(300));
  for (std::size_t i = 0; i < site.agents.size(); ++i) {
    site.StartAgent(i);
  }
  site.Run(milliseconds(1500));
  site.is_lost = nullptr;
  std::size_t strays = 0;
  site.on_upstream_packet = [&](const FlowSite::Agent& agent,
                                const FlowPacket&) {
    strays += &agent == owner ? 0 : 1;
  };
  site.SendRequest(1, tuple, 2);
  site.Run(milliseconds(100));
  CHECK(strays <= 2);
  CHECK(site.AnswersTo(tuple) == 2);
  CHECK(site.resets.empty());
}

// Guards against agents that are kept busy by hundreds of searches while the
// first ones would show that all flows are lost.
TEST_CASE("pattern: agents that answer late after an outage get few searches") {
  constexpr std::size_t kAgents = 60;
  FlowSite site(2, kAgents);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
    agent->entry.started_unix_ms =
        static_cast<std::uint64_t>(site.WallNow().time_since_epoch().count());
    agent->entry.cold_left = milliseconds(4000);
    site.BumpRevision(agent.get());
  }
  RestartProcesses(&site, kAgents);
  site.Run(milliseconds(200));
  site.agents_queried = 0;
  site.delay = [](const SocketAddress&, const SocketAddress&) {
    return milliseconds(100);
  };
  for (std::uint32_t number = 0; number < 100; ++number) {
    SendOrphanedPacket(&site, number);
  }
  site.Run(milliseconds(400));
  CHECK(site.agents_queried <= 12 * kAgents);
  for (std::uint32_t number = 0; number < 100; ++number) {
    CHECK(site.ResetsOf(FlowSite::Tuple(900 + number)) == 1);
  }
}

TEST_CASE("a search that is deferred twice ends once") {
  constexpr std::size_t kAgents = 60;
  FlowSite site(2, kAgents);
  for (const auto& agent : site.agents) {
    agent->upstream->Restart();
  }
  RestartProcesses(&site, kAgents);
  site.Run(milliseconds(200));
  for (std::uint32_t number = 1; number <= 20; ++number) {
    SendOrphanedPacket(&site, number);
  }
  const FlowTuple tuple = SendOrphanedPacket(&site);
  // A report of the flow arrives, which its agent revokes at once.
  FlowRouter& router = *site.balancers[0]->router;
  const SocketAddress agent = site.agents[0]->address;
  AgentStatus status;
  status.incarnation = router.agents().Find(agent)->incarnation();
  status.service = "counter";
  status.zone = "a";
  status.opened = {{tuple, 0}};
  router.OnNodeMessage(agent, status, site.clock.Now());
  router.OnNodeMessage(agent, FlowUnknownMessage{tuple}, site.clock.Now());
  SendOrphanedPacket(&site);
  site.Run(milliseconds(200));
  CHECK(site.ResetsOf(tuple) == 1);
}

TEST_CASE("all lost flows are reset within the search limit of a slow link") {
  // Each of 40 callers repeats its packet. Sending every one of these to 30
  // agents would take 240 packets per second and caller.
  FlowSite site(1, 30);
  site.search_bytes_per_second = 60 * 30 * 150;
  site.StartBalancer(0);
  for (std::size_t i = 0; i < site.agents.size(); ++i) {
    site.StartAgent(i);
  }
  site.Publish();
  site.Run(milliseconds(50));
  site.delivered = 0;
  for (std::uint32_t caller = 1; caller <= 40; ++caller) {
    SendOrphanedPacket(&site, caller);
    site.Run(milliseconds(5));
  }
  for (std::uint32_t caller = 1; caller <= 40; ++caller) {
    if (site.ResetsOf(FlowSite::Tuple(900 + caller)) == 0) {
      SendOrphanedPacket(&site, caller);
    }
  }
  for (std::uint32_t caller = 1; caller <= 40; ++caller) {
    CHECK(site.ResetsOf(FlowSite::Tuple(900 + caller)) == 1);
  }
  // The burst allows the searches of a quarter of a second, in addition to
  // those of the time that passed.
  CHECK(site.delivered <= 30 * (15 + 13 + 1));
}

}  // namespace fireflytrestle
