#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

#include "../../bench/fleet.h"
#include "../../bench/rendezvousrouter.h"

namespace fireflytrestle {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Retries stay within the budget when all targets refuse") {
  // Guards against retries that multiply the load on a service that refuses
  // flows.
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 7));
  for (std::uint32_t id = 1; id <= 7; ++id) {
    fleet.agents[TargetId{id}].refuses = true;
  }
  constexpr int kOpens = 10000;
  for (int i = 0; i < kOpens; ++i) {
    const Outcome outcome = fleet.Open(*router);
    CHECK(outcome.refused);
    CHECK(outcome.attempts <= 3);
    CHECK_FALSE(outcome.repeated);
    fleet.Advance(milliseconds(1));
  }
  const RouterStatistics& statistics = router->statistics();
  MESSAGE(kOpens << " OPENs, " << statistics.opens_retried << " retries");
  // 20% of the OPENs and 10 per second for 10 s, plus a full bucket of 100.
  CHECK(statistics.opens_retried <= kOpens / 5 + 10 * 10 + 100);
  CHECK(statistics.opens_retried >= kOpens / 5);
  CHECK(statistics.opens_refused == kOpens);
}

TEST_CASE("A bounced OPEN is retried at a target that has not bounced it") {
  // Guards against refusing a caller while another target accepts flows.
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 7));
  fleet.agents[TargetId{1}].refuses = true;
  fleet.agents[TargetId{2}].refuses = true;
  for (int i = 0; i < 2000; ++i) {
    CHECK(fleet.Open(*router).flow.has_value());
    fleet.Advance(milliseconds(1));
  }
  // Each bounce holds the target off for at least 250 ms, so the two targets
  // get far fewer than their share of 2 in 7 OPENs within 2 s.
  CHECK(router->statistics().bounced <= 2 * 4 * 2 + 2);
}

TEST_CASE("A leaving target gets no new flows") {
  // Guards against new flows to a target that is leaving, according to the
  // instance list or to its own report, also after a change of the view.
  Fleet fleet;
  Configuration view = MakeConfiguration(kService, 1, 4);
  const auto router = fleet.MakeRouter(view);
  InstanceRecord leaving;
  leaving.role = InstanceRecord::Role::kAgent;
  leaving.target = TargetId{1};
  leaving.leaving = true;
  fleet.agents[TargetId{2}].refuses = true;
  fleet.agents[TargetId{2}].refusal = TargetState::kDraining;
  for (int i = 0; i < 90; ++i) {
    view.revision = Revision{static_cast<std::uint64_t>(2 + i)};
    router->InstallView(MakeRoutingView(view, {leaving}), fleet.clock.Now());
    CHECK(fleet.Open(*router).flow.has_value());
    fleet.Advance(milliseconds(100));
  }
  CHECK(fleet.agents[TargetId{1}].opens_received == 0);
  CHECK(fleet.agents[TargetId{2}].opens_received == 1);
}

TEST_CASE("A repeated OPEN avoids a target that left the first unanswered") {
  // Guards against excluding a target only after 3 unanswered OPENs per
  // balancer: a caller that repeats its OPEN would wait for that long.
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 7));
  const OpenMessage open{MakeNonce(fleet.random)};
  const TargetId silent = *fleet.Send(*router, open).reached;
  fleet.agents[silent].silent = true;
  fleet.Send(*router, open);
  fleet.Advance(milliseconds(500));
  CHECK(fleet.Send(*router, open).reached != silent);
}

TEST_CASE("New flows avoid a target that left a PING unanswered") {
  // Guards against sending an OPEN to a target that does not answer, although
  // unanswered PINGs of established flows have already shown that.
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 7));
  const OpenMessage open{MakeNonce(fleet.random)};
  const Outcome opened = fleet.Send(*router, open);
  const PingMessage ping{*opened.flow};
  fleet.Send(*router, ping);
  // A missing answer from a previous address of the target must not count
  // against its current address.
  TargetSettings earlier =
      MakeTarget(static_cast<std::uint32_t>(*opened.reached), kService);
  earlier.agent = AgentAddress(TargetId{99});
  fleet.agents[TargetId{99}].silent = true;
  fleet.Send(*router, PingMessage{MakeToken(earlier, 1)});
  fleet.Advance(milliseconds(500));
  CHECK(fleet.Send(*router, open).reached == opened.reached);
  fleet.agents[*opened.reached].silent = true;
  fleet.Send(*router, ping);
  fleet.Advance(milliseconds(500));
  CHECK(fleet.Send(*router, open).reached != opened.reached);
}

TEST_CASE(
    "A target that does not answer gets one probe a second and new flows "
    "once it answers") {
  Fleet fleet;
  const auto router = fleet.MakeRouter(MakeConfiguration(kService, 1, 7));
  FakeAgent& silent = fleet.agents[TargetId{3}];
  const auto run = [&](Duration time) {
    for (Duration end{0}; end < time; end += milliseconds(10)) {
      fleet.Open(*router);
      fleet.Advance(milliseconds(10));
    }
  };
  silent.silent = true;
  while (silent.opens_received < 3) {
    run(milliseconds(10));
  }
  run(milliseconds(500));
  const std::uint64_t noticed = silent.opens_received;
  const std::uint64_t accepted = router->statistics().returned;
  run(seconds(10));
  // A probe is a copy of an OPEN that also goes to another target, so every
  // caller gets an answer.
  CHECK(router->statistics().returned - accepted == 1000);
  MESSAGE(noticed << " OPENs until suspect, " << silent.opens_received - noticed
                  << " probes in 10 s");
  CHECK(silent.opens_received - noticed <= 10);
  CHECK(silent.opens_received > noticed);
  // The BOUNCE of a probe must not refuse an OPEN that another target accepts.
  silent.silent = false;
  silent.refuses = true;
  run(seconds(4));
  CHECK(fleet.probe_dropped);
  CHECK(router->statistics().opens_refused == 0);
  silent.refuses = false;
  run(seconds(4));
  CHECK(silent.open_flows > 10);
}

TEST_CASE("Load stays balanced although load reports are stale") {
  // Guards against balancers that all send new flows to the target with the
  // lowest load in an outdated report, and against a selection that ignores
  // load.
  constexpr std::size_t kTargets = 7;
  constexpr std::size_t kOpenFlows = 4000;
  constexpr int kOpens = 30000;
  Fleet fleet;
  std::vector<std::unique_ptr<PacketRouter>> routers;
  SUBCASE("many balancers") {
    fleet.reply_delay = milliseconds(100);
    routers.resize(50);
  }
  SUBCASE("one balancer with late reports counts the OPENs sent since") {
    fleet.reply_delay = seconds(1);
    routers.resize(1);
  }
  const Configuration view = MakeConfiguration(kService, 1, kTargets);
  for (auto& router : routers) {
    router = fleet.MakeRouter(view);
  }
  RendezvousRouter baseline;
  baseline.InstallView(MakeRoutingView(view, {}));
  using Choice = std::array<TargetId, 2>;
  std::vector<Choice> flows;
  std::array<std::map<TargetId, std::uint32_t>, 2> open;
  std::array<double, 2> sum{};
  for (int i = 0; i < kOpens; ++i) {
    const Nonce nonce = MakeNonce(fleet.random);
    const Outcome outcome = fleet.Send(
        *routers[fleet.random.Below(routers.size())], OpenMessage{nonce});
    flows.push_back({*outcome.reached, baseline.Route(kService, nonce)->id});
    ++open[0][flows.back()[0]];
    ++open[1][flows.back()[1]];
    if (flows.size() > kOpenFlows) {
      std::swap(flows[fleet.random.Below(flows.size())], flows.back());
      --fleet.agents[flows.back()[0]].open_flows;
      for (std::size_t k = 0; k < open.size(); ++k) {
        --open[k][flows.back()[k]];
        sum[k] += std::ranges::max(open[k] | std::views::values);
      }
      flows.pop_back();
    }
    fleet.Advance(milliseconds(1));
  }
  constexpr double kMean = double{kOpenFlows} / kTargets;
  constexpr int kSamples = kOpens - static_cast<int>(kOpenFlows);
  MESSAGE("maximum over mean of open flows: " << sum[0] / kSamples / kMean
                                              << ", baseline "
                                              << sum[1] / kSamples / kMean);
  CHECK(sum[0] < sum[1]);
}

}  // namespace fireflytrestle
