#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "flowsite.h"
#include "libflow/agentselector.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kServices = 3;
const std::array<std::string, kServices> kNames = {"counter", "ledger",
                                                   "archive"};
using Weights = std::array<std::uint32_t, kServices>;

std::vector<WeightedService> Weighted(const Weights& weights) {
  std::vector<WeightedService> services;
  for (std::size_t i = 0; i < kServices; ++i) {
    services.push_back({kNames[i], weights[i]});
  }
  return services;
}

/// Whether a service with the weight got its share of \p total flows. The share
/// may deviate by 5 % of itself.
bool IsShare(std::size_t count, std::size_t total, std::uint32_t weight) {
  constexpr double kMaxDeviation = 0.05;
  const double expected = static_cast<double>(total) * weight / 100.0;
  return std::abs(static_cast<double>(count) - expected) <=
         kMaxDeviation * expected;
}

/// Divides the agents evenly among the services, and gives the route these
/// weights.
void UseServices(const Weights& weights, FlowSite* site) {
  for (std::size_t index = 0; index < site->agents.size(); ++index) {
    FlowSite::Agent* agent = site->agents[index].get();
    agent->entry.service = kNames[index % kServices];
    site->BumpRevision(agent);
    site->StartAgent(index, true);
    site->view.services[agent->entry.service] = {};
  }
  site->view.routes[FlowSite::kRoute].services = Weighted(weights);
  ++site->view.configuration_version;
  site->Publish();
  site->Run(milliseconds(1500));
}

/// Opens a flow of each caller, and returns the number of flows of each
/// service.
std::map<std::string, std::size_t> OpenFlows(std::uint32_t first_caller,
                                             std::uint32_t count,
                                             FlowSite* site) {
  std::map<std::string, std::size_t> flows;
  for (std::uint32_t i = 0; i < count; ++i) {
    const FlowTuple tuple = FlowSite::Tuple(first_caller + i);
    site->Open(i % site->balancers.size(), tuple);
    FlowSite::Agent* owner = site->OwnerOf(tuple);
    REQUIRE(owner != nullptr);
    const std::string* chosen =
        SelectService(site->view.routes[FlowSite::kRoute], tuple);
    REQUIRE(chosen != nullptr);
    CHECK(owner->entry.service == *chosen);
    ++flows[owner->entry.service];
    site->Run(milliseconds(20));
  }
  return flows;
}

}  // namespace

// Guards against a service that gets more or fewer new flows than its weight
// says, in total or at one of the balancers.
TEST_CASE("new flows are divided by the weights of the services") {
  constexpr std::size_t kBalancers = 4;
  constexpr std::uint32_t kCallers = 40;
  constexpr std::uint16_t kFlowsPerCaller = 5000;
  Weights weights{};
  SUBCASE("70/20/10") {
    weights = {70, 20, 10};
  }
  SUBCASE("10/20/70") {
    weights = {10, 20, 70};
  }
  SUBCASE("90/10/0") {
    weights = {90, 10, 0};
  }
  RouteSettings route;
  route.address = FlowSite::kRoute;
  route.services = Weighted(weights);
  // Callers open their flows from one port after the other, and the routers in
  // front of the balancers choose by a hash of the flow.
  std::array<std::map<std::string, std::size_t>, kBalancers> flows;
  std::array<std::size_t, kBalancers> total{};
  for (std::uint32_t caller = 1; caller <= kCallers; ++caller) {
    for (std::uint16_t number = 0; number < kFlowsPerCaller; ++number) {
      FlowTuple tuple = FlowSite::Tuple(caller);
      tuple.caller.port = static_cast<std::uint16_t>(40000 + number);
      const std::size_t balancer =
          (caller * std::size_t{31} + number * std::size_t{17}) % kBalancers;
      const std::string* service = SelectService(route, tuple);
      REQUIRE(service != nullptr);
      ++flows[balancer][*service];
      ++total[balancer];
    }
  }
  for (std::size_t balancer = 0; balancer < kBalancers; ++balancer) {
    for (std::size_t i = 0; i < kServices; ++i) {
      CAPTURE(balancer);
      CAPTURE(flows[balancer][kNames[i]]);
      CAPTURE(total[balancer]);
      CHECK(IsShare(flows[balancer][kNames[i]], total[balancer], weights[i]));
    }
  }
}

// Guards against balancers that choose different services for copies of a SYN,
// which then opens at two of them.
TEST_CASE("all balancers choose the same service for a flow") {
  FlowSite site(3, 6);
  UseServices({70, 20, 10}, &site);
  std::map<FlowTuple, std::string, bool (*)(const FlowTuple&, const FlowTuple&)>
      services([](const FlowTuple& a, const FlowTuple& b) {
        return a.caller < b.caller;
      });
  site.on_upstream_packet = [&](const FlowSite::Agent& agent,
                                const FlowPacket& packet) {
    if (packet.IsOpening()) {
      const FlowTuple tuple{packet.source, packet.destination};
      const auto [position, added] =
          services.try_emplace(tuple, agent.entry.service);
      CHECK(position->second == agent.entry.service);
    }
  };
  for (std::uint32_t caller = 1; caller <= 100; ++caller) {
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
      site.SendSyn(balancer, FlowSite::Tuple(caller));
    }
    site.Run(milliseconds(20));
  }
  CHECK(services.size() == 100);
}

// Guards against open flows that are moved or reset (FLOW), or new flows that
// follow the weights of before, after a change of the weights.
TEST_CASE("changed weights apply to new flows and leave open flows alone") {
  constexpr std::uint32_t kFlows = 150;
  Weights weights{10, 20, 70};
  /// The next packets come through the balancer after the one that opened the
  /// flow.
  bool moved = false;
  bool restarted = false;
  SUBCASE("at the balancer of the flow") {}
  SUBCASE("at another balancer") {
    moved = true;
  }
  SUBCASE("at another balancer that has restarted") {
    moved = restarted = true;
  }
  SUBCASE("at another balancer, and one service gets no new flows") {
    moved = true;
    weights = {0, 30, 70};
  }
  SUBCASE("at one that has restarted, and one service gets no new flows") {
    moved = restarted = true;
    weights = {0, 30, 70};
  }
  FlowSite site(3, 6);
  UseServices({70, 20, 10}, &site);
  const auto before = OpenFlows(1, kFlows, &site);
  CHECK(before.size() == kServices);
  std::map<std::uint32_t, const FlowSite::Agent*> owners;
  for (std::uint32_t caller = 1; caller <= kFlows; ++caller) {
    owners[caller] = site.OwnerOf(FlowSite::Tuple(caller));
  }
  site.view.routes[FlowSite::kRoute].services = Weighted(weights);
  ++site.view.configuration_version;
  site.Publish();
  if (restarted) {
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
      site.StartBalancer(balancer);
    }
    site.Publish();
    site.Run(milliseconds(1500));
  }
  for (std::uint32_t caller = 1; caller <= kFlows; ++caller) {
    site.SendRequest((caller - 1 + (moved ? 1 : 0)) % 3,
                     FlowSite::Tuple(caller), 2);
    site.Run(milliseconds(50));
  }
  site.Run(milliseconds(500));
  for (std::uint32_t caller = 1; caller <= kFlows; ++caller) {
    CAPTURE(caller);
    CHECK(site.OwnerOf(FlowSite::Tuple(caller)) == owners[caller]);
    CHECK(site.AnswersTo(FlowSite::Tuple(caller)) == 2);
  }
  CHECK(site.resets.empty());
  // OpenFlows() checks the service of each flow.
  const auto after = OpenFlows(kFlows + 1, kFlows, &site);
  CHECK(after.contains(kNames[0]) == (weights[0] > 0));
}

}  // namespace fireflytrestle
