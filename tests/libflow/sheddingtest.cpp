#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <vector>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

TEST_CASE("an urgent request overtakes those that wait at the agent") {
  // Guards against an urgent request that waits behind a queue: 20 requests of
  // low priority wait for two slots when an order arrives. Two run and three
  // are queued at the upstream, which keeps their order.
  FlowSite site(1, 1, 2);
  site.view.routes.at(FlowSite::kRoute).priority = 5;
  site.view.routes.at(FlowSite::kNonIdempotentRoute).priority = 0;
  ++site.view.configuration_version;
  site.Publish();
  const FlowTuple order = FlowSite::Tuple(21, FlowSite::kNonIdempotentRoute);
  for (std::uint32_t caller = 1; caller <= 20; ++caller) {
    site.SendSyn(0, FlowSite::Tuple(caller));
  }
  site.SendSyn(0, order);
  for (std::uint32_t caller = 1; caller <= 20; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller));
  }
  site.SendRequest(0, order);
  site.Run(milliseconds(700));
  const auto& started = site.agents[0]->upstream->started;
  REQUIRE(started.size() == 21);
  CHECK(started[5].source == order.caller);
  CHECK(site.resets.empty());
}

// Guards against an urgent request that waits behind long ones which were sent
// to a slow upstream ahead of time.
TEST_CASE("an urgent request overtakes long ones at a slow upstream") {
  FlowSite site(1, 1, 2);
  site.view.routes.at(FlowSite::kRoute).priority = 5;
  site.view.routes.at(FlowSite::kNonIdempotentRoute).priority = 0;
  ++site.view.configuration_version;
  site.Publish();
  site.agents[0]->upstream->work = milliseconds(100);
  std::uint32_t caller = 0;
  for (int round = 0; round < 10; ++round) {
    site.Open(0, FlowSite::Tuple(++caller));
    site.Open(0, FlowSite::Tuple(++caller));
    site.Run(milliseconds(150));
  }
  const auto& started = site.agents[0]->upstream->started;
  const std::size_t before = started.size();
  const FlowTuple order = FlowSite::Tuple(40, FlowSite::kNonIdempotentRoute);
  site.SendSyn(0, order);
  for (int i = 0; i < 8; ++i) {
    site.Open(0, FlowSite::Tuple(++caller));
  }
  site.SendRequest(0, order);
  site.Run(milliseconds(400));
  REQUIRE(started.size() > before + 3);
  CHECK(started[before + 3].source == order.caller);
  CHECK(site.resets.empty());
}

// Guards against an urgent flow that goes to agents of other zones, whose load
// is not known, since the near ones have refused flows of low priority.
TEST_CASE("a full queue of low priority does not divert urgent flows") {
  FlowSite site(1, 2, 2, {1, 1});
  site.view.routes.at(FlowSite::kRoute).priority = 5;
  site.view.routes.at(FlowSite::kNonIdempotentRoute).priority = 0;
  ++site.view.configuration_version;
  site.Publish();
  std::uint32_t caller = 0;
  while (site.Decisions("open_returned upstream_full") < 4 && caller < 500) {
    site.Open(0, FlowSite::Tuple(++caller));
  }
  REQUIRE(caller < 500);
  site.decisions.clear();
  const FlowTuple order =
      FlowSite::Tuple(++caller, FlowSite::kNonIdempotentRoute);
  site.Open(0, order);
  CHECK(site.Decisions("flow_placed least_load") == 1);
  site.Open(0, FlowSite::Tuple(++caller));
  CHECK(site.Decisions("flow_placed last_resort") == 1);
  site.Run(milliseconds(200));
  CHECK(site.AnswersTo(order) == 1);
}

// Guards against a metric of the expected wait that tells operators nothing.
TEST_CASE(
    "the expected wait of a queue of one class is close to the real one") {
  FlowSite site(1, 1, 2);
  for (std::uint32_t caller = 1; caller <= 40; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(700));
  const auto& expected = site.measured[FlowMeasurement::kExpectedWait];
  const auto& real = site.measured[FlowMeasurement::kWait];
  REQUIRE(expected.size() == real.size());
  REQUIRE(expected.size() >= 30);
  const auto sum = [](const std::vector<Duration>& times) {
    return std::accumulate(times.begin(), times.end(), Duration{});
  };
  const auto count = static_cast<int>(real.size());
  // Requests are sent to the upstream up to 30 ms before they have a slot.
  CHECK(sum(expected) / count >= sum(real) / count);
  CHECK(sum(expected) / count <= sum(real) / count + milliseconds(40));
}

TEST_CASE("a request counts from its caller's first SYN") {
  // Guards against callers of an outage who are late already and take the slots
  // of those who can still be answered in time.
  FlowSite site(1, 1, 2);
  const FlowTuple late = FlowSite::Tuple(6);
  const FlowTuple fresh = FlowSite::Tuple(7);
  for (std::uint32_t caller = 1; caller <= 5; ++caller) {
    site.SendSyn(0, FlowSite::Tuple(caller));
  }
  site.SendSyn(0, late, 2);
  site.SendSyn(0, fresh);
  for (std::uint32_t caller = 1; caller <= 7; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(700));
  const auto& started = site.agents[0]->upstream->started;
  REQUIRE(started.size() == 7);
  CHECK(started[5].source == fresh.caller);
  CHECK(started[6].source == late.caller);
}

// Guards against silence: a flow that opens too late for its first request
// makes its caller wait until the time-out instead of trying elsewhere.
TEST_CASE("a SYN whose caller's time is nearly over is refused") {
  FlowSite site(1, 1, 2);
  site.view.routes.at(FlowSite::kNonIdempotentRoute).timeout =
      milliseconds(650);
  ++site.view.configuration_version;
  site.Publish();
  for (std::uint32_t caller = 1; caller <= 20; ++caller) {
    site.Open(0, FlowSite::Tuple(caller));
  }
  // The agent learns the work of a request.
  site.Run(milliseconds(50));
  const FlowTuple fresh = FlowSite::Tuple(21, FlowSite::kNonIdempotentRoute);
  // The third SYN of a caller comes 600 ms after the first one.
  const FlowTuple late = FlowSite::Tuple(22, FlowSite::kNonIdempotentRoute);
  site.SendSyn(0, fresh);
  site.SendSyn(0, late, 2);
  CHECK(site.SynAckSequence(fresh) != 0);
  CHECK(site.SynAckSequence(late) == 0);
}

TEST_CASE("a request on a flow that its upstream closes is no failure") {
  // Guards against a healthy upstream that counts as failing: it resets the
  // requests that waited when it closed their flows.
  FlowSite site(1, 1, 2);
  FlowSite::Agent& agent = *site.agents[0];
  agent.upstream->resets_unknown = true;
  for (std::uint32_t caller = 1; caller <= 12; ++caller) {
    site.SendSyn(0, FlowSite::Tuple(caller));
  }
  for (std::uint32_t caller = 1; caller <= 12; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(500));
  for (std::uint32_t caller = 1; caller <= 12; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller), 2);
  }
  for (std::uint32_t caller = 6; caller <= 12; ++caller) {
    const FlowTuple tuple = FlowSite::Tuple(caller);
    agent.upstream->flows.erase(tuple);
    FlowPacket fin;
    fin.source = tuple.route;
    fin.destination = tuple.caller;
    fin.fin = true;
    std::vector<std::uint8_t> bytes = PlainCodec::Encode(fin);
    agent.tracker->OnUpstreamPacket(bytes, site.clock.Now());
  }
  site.Run(milliseconds(500));
  CHECK(site.Decisions("upstream_failing requests_reset") == 0);
}

TEST_CASE("a request that waited until its time-out never runs") {
  // Guards against a late copy of a request that was given up: it would count
  // as a new one and take a slot, although nobody waits for its answer.
  FlowSite site(1, 1, 1);
  site.agents[0]->upstream->work = milliseconds(1200);
  const FlowTuple last = FlowSite::Tuple(4);
  std::size_t delivered = 0;
  site.on_upstream_packet = [&](const auto& /*agent*/,
                                const FlowPacket& packet) {
    delivered += packet.source == last.caller && packet.data_bytes > 0 ? 1 : 0;
  };
  for (std::uint32_t caller = 1; caller <= 4; ++caller) {
    site.SendSyn(0, FlowSite::Tuple(caller));
  }
  for (std::uint32_t caller = 1; caller <= 4; ++caller) {
    site.SendRequest(0, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(900));
  CHECK(site.Decisions("packet_dropped caller_gave_up") == 1);
  site.SendRequest(0, last);
  site.Run(milliseconds(3000));
  CHECK(site.Decisions("packet_dropped caller_gave_up") == 2);
  CHECK(delivered == 0);
  // The next request of the flow is a new one.
  site.SendRequest(0, last, 2);
  CHECK(delivered == 1);
}

}  // namespace fireflytrestle
