#include <doctest/doctest.h>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

std::size_t MaxFlowsPerUpstream(const FlowSite& site) {
  std::size_t most = 0;
  for (const auto& agent : site.agents) {
    most = std::max(most, agent->upstream->opened.size());
  }
  return most;
}

}  // namespace

TEST_CASE("many balancers spread new flows evenly between two reports") {
  // Nine balancers have the same reports. Within one report interval, twelve
  // non-idempotent flows open at seven upstreams with three slots each.
  FlowSite site(9, 7);
  for (std::uint32_t caller = 0; caller < 12; ++caller) {
    site.Open(caller % 9,
              FlowSite::Tuple(caller + 1, FlowSite::kNonIdempotentRoute));
  }
  CHECK(MaxFlowsPerUpstream(site) <= 4);
}

TEST_CASE("a burst of flows at one balancer fills free slots first") {
  FlowSite site(1, 4, 2);
  for (std::uint32_t caller = 0; caller < 8; ++caller) {
    site.Open(0, FlowSite::Tuple(caller + 1, FlowSite::kNonIdempotentRoute));
  }
  CHECK(MaxFlowsPerUpstream(site) == 2);
}

TEST_CASE("long-lived flows are spread evenly over the upstreams") {
  FlowSite site(3, 5);
  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    site.Open(caller % 3, FlowSite::Tuple(caller + 1));
    site.Run(milliseconds(20));
  }
  CHECK(MaxFlowsPerUpstream(site) <= 26);
}

TEST_CASE(
    "callers that reconnect after an outage do not overload one upstream") {
  // All flows are lost. The agents start one after the other, while all callers
  // reconnect at once.
  FlowSite site(2, 4);
  for (const auto& agent : site.agents) {
    agent->running = false;
  }
  site.clock.Advance(std::chrono::seconds(3));
  site.StartBalancer(0);
  site.StartBalancer(1);
  site.StartAgent(0);
  site.Publish();
  for (std::uint32_t caller = 0; caller < 80; ++caller) {
    site.SendSyn(caller % 2, FlowSite::Tuple(caller + 1));
  }
  for (std::size_t agent = 1; agent < 4; ++agent) {
    site.Run(milliseconds(30));
    site.StartAgent(agent);
    site.Publish();
  }
  site.Run(milliseconds(400));
  CHECK(MaxFlowsPerUpstream(site) <= 30);
}

TEST_CASE("an upstream that resets every request gets few flows") {
  // The upstream always has free slots and therefore seems the least loaded.
  FlowSite site(3, 5);
  constexpr std::uint32_t kFlows = 200;
  FakeUpstream& broken = *site.agents[0]->upstream;
  broken.resets_requests = true;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    site.Open(caller % 3,
              FlowSite::Tuple(caller + 1, FlowSite::kNonIdempotentRoute));
    site.Run(milliseconds(10));
  }
  // Three flows until the upstream counts as failing, then probes at growing
  // intervals.
  CHECK(broken.opened.size() <= 8);
  SUBCASE("it gets its share again once it answers") {
    broken.resets_requests = false;
    site.Run(milliseconds(2000));
    const std::size_t before = broken.answered;
    for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
      site.Open(caller % 3,
                FlowSite::Tuple(900 + caller, FlowSite::kNonIdempotentRoute));
      site.Run(milliseconds(20));
    }
    CHECK(broken.answered - before >= kFlows / 10);
  }
}

TEST_CASE("a reset that answers a request on a closed flow is no failure") {
  // An upstream that closes each flow after its answer, as one does that is
  // about to leave. Callers send their next request before they see the FIN.
  FlowSite site(1, 1);
  FlowSite::Agent& agent = *site.agents[0];
  agent.upstream->resets_unknown = true;
  for (std::uint32_t caller = 1; caller <= 10; ++caller) {
    const FlowTuple tuple = FlowSite::Tuple(caller);
    site.Open(0, tuple);
    site.Run(milliseconds(100));
    REQUIRE(site.AnswersTo(tuple) == 1);
    agent.upstream->flows.erase(tuple);
    FlowPacket fin;
    fin.source = tuple.route;
    fin.destination = tuple.caller;
    fin.fin = true;
    std::vector<std::uint8_t> bytes = PlainCodec::Encode(fin);
    agent.tracker->OnUpstreamPacket(bytes, site.clock.Now());
    site.SendRequest(0, tuple, 2);
  }
  CHECK(site.Decisions("upstream_failing requests_reset") == 0);
  site.Open(0, FlowSite::Tuple(100));
  site.Run(milliseconds(100));
  CHECK(site.AnswersTo(FlowSite::Tuple(100)) == 1);
}

TEST_CASE("packets that arrive before the first view are not lost") {
  FlowSite site(1, 2);
  site.StartBalancer(0);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  CHECK(site.SynAckSequence(tuple) == 0);
  site.Publish();
  site.Run(milliseconds(100));
  CHECK(site.SynAckSequence(tuple) != 0);
}

}  // namespace fireflytrestle
