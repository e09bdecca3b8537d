#include <doctest/doctest.h>

#include "flowsite.h"
#include "libflow/flowknowledge.h"
#include "libflow/handoverstore.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kFlowLifetime{60000};

FlowHandover Part(std::uint64_t round, std::uint32_t part) {
  FlowHandover handover;
  handover.service = "counter";
  handover.incarnation = Incarnation{1};
  handover.round = round;
  handover.part = part;
  handover.parts = 2;
  handover.is_complete = true;
  return handover;
}

}  // namespace

TEST_CASE("an agent knows all flows after every part of a handover") {
  const TimePoint start{std::chrono::seconds(100)};
  FlowKnowledge knowledge(false, kFlowLifetime, {}, start);
  CHECK_FALSE(knowledge.IsComplete(start));
  CHECK(knowledge.NeedsHandover(start));
  knowledge.OnHandover(Part(1, 0));
  CHECK_FALSE(knowledge.NeedsHandover(start));
  knowledge.OnHandover(Part(1, 0));
  CHECK_FALSE(knowledge.IsComplete(start));
  SUBCASE("of one round") {
    knowledge.OnHandover(Part(1, 1));
    CHECK(knowledge.IsComplete(start));
  }
  SUBCASE("but not of two rounds") {
    knowledge.OnHandover(Part(2, 1));
    knowledge.OnHandover(Part(1, 1));
    CHECK_FALSE(knowledge.IsComplete(start));
    knowledge.OnHandover(Part(2, 0));
    CHECK(knowledge.IsComplete(start));
  }
  SUBCASE("and not after a late part of an earlier round") {
    FlowKnowledge later(false, kFlowLifetime, {}, start);
    later.OnHandover(Part(2, 0));
    FlowHandover late = Part(1, 0);
    late.parts = 1;
    later.OnHandover(late);
    CHECK_FALSE(later.IsComplete(start));
  }
  SUBCASE("unless the run before did not know all") {
    FlowHandover last = Part(1, 1);
    last.is_complete = false;
    knowledge.OnHandover(last);
    CHECK_FALSE(knowledge.IsComplete(start));
  }
}

TEST_CASE("an agent knows all flows after the lifetime of a flow") {
  const TimePoint start{std::chrono::seconds(100)};
  const FlowKnowledge knowledge(false, kFlowLifetime, {}, start);
  CHECK_FALSE(knowledge.IsComplete(start + kFlowLifetime - milliseconds(1)));
  CHECK(knowledge.IsComplete(start + kFlowLifetime));
  CHECK_FALSE(knowledge.NeedsHandover(start + FlowKnowledge::kRecoveryTime));
}

// Guards against silence towards callers after a loss of power: agents cannot
// tell them that their flows are lost.
TEST_CASE("an agent knows all flows of an upstream that started after it") {
  const TimePoint start{std::chrono::seconds(100)};
  const WallTime wall_start{std::chrono::hours(1000)};
  FlowKnowledge knowledge(false, kFlowLifetime, wall_start, start);
  SUBCASE("or just before it") {
    CHECK(knowledge.OnUpstreamStarted(
        wall_start - FlowKnowledge::kMinPreviousRun + milliseconds(1)));
    CHECK(knowledge.IsComplete(start));
    CHECK_FALSE(knowledge.NeedsHandover(start));
    // A flow whose opening was not seen does not count as one from before a
    // loss of power.
    CHECK(knowledge.MaxFlowAge(start + milliseconds(500)) ==
          milliseconds(500) + FlowKnowledge::kMinPreviousRun);
  }
  SUBCASE("but not of one that an earlier run may have sent flows") {
    CHECK_FALSE(knowledge.OnUpstreamStarted(wall_start -
                                            FlowKnowledge::kMinPreviousRun));
    CHECK_FALSE(knowledge.IsComplete(start));
  }
  SUBCASE("or that does not run") {
    knowledge.OnUpstreamAbsent();
    CHECK(knowledge.IsComplete(start));
  }
  SUBCASE("but not if the upstream's start is unknown") {
    CHECK_FALSE(knowledge.OnUpstreamStarted({}));
    CHECK(knowledge.MaxFlowAge(start) == kFlowLifetime);
    CHECK_FALSE(knowledge.IsComplete(start));
  }
  SUBCASE("but not if its own start is unknown") {
    FlowKnowledge unknown(false, kFlowLifetime, {}, start);
    CHECK_FALSE(unknown.OnUpstreamStarted(wall_start));
    CHECK_FALSE(unknown.IsComplete(start));
  }
}

// Guards against a reset of open flows (FLOW) after a step of the clock: the
// upstream seems to have started after the agent's run.
TEST_CASE("a handover with flows shows that the upstream is older") {
  const TimePoint start{std::chrono::seconds(100)};
  const WallTime wall_start{std::chrono::hours(1000)};
  FlowKnowledge knowledge(false, kFlowLifetime, wall_start, start);
  REQUIRE(knowledge.OnUpstreamStarted(wall_start + milliseconds(5000)));
  FlowHandover handover = Part(1, 0);
  handover.flows.resize(1);
  knowledge.OnHandover(handover);
  CHECK_FALSE(knowledge.IsComplete(start));
  CHECK_FALSE(knowledge.OnUpstreamStarted(wall_start + milliseconds(5000)));
}

// Guards against a reset of open flows (FLOW): a run gets the handover of one
// that is not the run before it, and takes the flows of that one for absent.
TEST_CASE("a handover is for the next run only") {
  const SocketAddress agent{1, 2};
  const TimePoint now{std::chrono::seconds(100)};
  HandoverStore store;
  std::string service;
  store.Add(agent, Part(1, 0), now);
  store.Add(agent, Part(1, 1), now);
  CHECK(store.Take(agent, Incarnation{1}, &service).empty());
  CHECK(store.Take(agent, Incarnation{2}, &service).size() == 2);
  CHECK(service == "counter");
  // The agent asks again if the first answer was lost.
  CHECK(store.Take(agent, Incarnation{2}, &service).size() == 2);
  CHECK(store.Take(agent, Incarnation{3}, &service).empty());
  CHECK(store.Take(agent, Incarnation{2}, &service).empty());
}

TEST_CASE("a run that got its handover elsewhere ends the handover here") {
  const SocketAddress agent{1, 2};
  HandoverStore store;
  std::string service;
  store.Add(agent, Part(1, 0), TimePoint{});
  store.OnRun(agent, Incarnation{2});
  store.OnRun(agent, Incarnation{2});
  CHECK(store.Take(agent, Incarnation{3}, &service).empty());
}

TEST_CASE("a restarted agent holds the flows that its previous run held") {
  FlowSite site(2, 1);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  site.agents[0]->tracker->BeginStop(site.clock.Now());
  site.Run(FlowTracker::kNoticeTime);
  site.StartAgent(0);
  site.Run(milliseconds(300));
  CHECK(site.Decisions("peer_phase handover") > 0);
  CHECK(site.agents[0]->tracker->flow_count() == 1);
  // Without knowledge of its flows, a flow that it never held could not be
  // reset at the caller's first packet.
  SUBCASE("and no others") {
    const FlowTuple lost = FlowSite::Tuple(2);
    FlowPacket packet = FlowSite::Packet(lost);
    packet.ack = true;
    packet.data_bytes = 10;
    std::size_t arrivals = 0;
    site.on_upstream_packet = [&](const FlowSite::Agent&, const FlowPacket&) {
      ++arrivals;
    };
    site.SendFromCaller(0, packet);
    CHECK(site.ResetsOf(lost) == 1);
    CHECK(arrivals == 0);
  }
  SUBCASE("of its own service") {
    site.agents[0]->entry.service = "ledger";
    site.StartAgent(0);
    site.Run(milliseconds(300));
    CHECK(site.agents[0]->tracker->flow_count() == 0);
  }
}

}  // namespace fireflytrestle
