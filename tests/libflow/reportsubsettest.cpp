#include <doctest/doctest.h>

#include <set>

#include "flowsite.h"

namespace fireflytrestle {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A loss must be known within this time to a balancer that forwards packets
/// to the lost agent.
constexpr milliseconds kLossDeadline{450};
constexpr FlowSite::Zones kThreeZones{3, 3};

/// Control messages sent per process and second, with one open flow per
/// balancer.
struct ControlLoad {
  double per_balancer = 0;
  double per_agent = 0;
  /// Of the process that sends most.
  double busiest = 0;
};

ControlLoad MeasureControlLoad(std::size_t balancers, std::size_t agents) {
  constexpr int kSeconds = 4;
  FlowSite site(balancers, agents, 3, kThreeZones);
  for (std::uint32_t i = 0; i < balancers; ++i) {
    site.Open(i, FlowSite::Tuple(i + 1));
  }
  site.control_sent.clear();
  site.Run(seconds(kSeconds));
  ControlLoad load;
  for (const auto& [address, count] : site.control_sent) {
    load.busiest =
        std::max(load.busiest, static_cast<double>(count) / kSeconds);
  }
  for (const auto& balancer : site.balancers) {
    load.per_balancer +=
        static_cast<double>(site.control_sent[balancer->address]);
  }
  for (const auto& agent : site.agents) {
    load.per_agent += static_cast<double>(site.control_sent[agent->address]);
  }
  load.per_balancer /= static_cast<double>(balancers) * kSeconds;
  load.per_agent /= static_cast<double>(agents) * kSeconds;
  return load;
}

/// Returns the agents that the balancer has not asked for reports.
std::vector<FlowSite::Agent*> UnreportedAgents(FlowSite* site,
                                               std::size_t balancer) {
  std::vector<FlowSite::Agent*> unreported;
  const AgentTable& table = site->balancers[balancer]->router->agents();
  for (const auto& agent : site->agents) {
    if (!table.Find(agent->address)->reports_wanted()) {
      unreported.push_back(agent.get());
    }
  }
  return unreported;
}

}  // namespace

TEST_CASE("pattern: control messages per process are flat as the fleet grows") {
  // 30 and 300 processes, three balancers to seven agents.
  const ControlLoad small = MeasureControlLoad(9, 21);
  const ControlLoad large = MeasureControlLoad(90, 210);
  CHECK(large.per_balancer <= 1.3 * small.per_balancer);
  CHECK(large.per_agent <= 1.3 * small.per_agent);
}

TEST_CASE("the busiest process sends no more as the fleet grows") {
  CHECK(MeasureControlLoad(90, 210).busiest <=
        1.3 * MeasureControlLoad(9, 21).busiest);
}

TEST_CASE("a balancer gets reports from a bounded subset of a large service") {
  FlowSite site(6, 120, 3, kThreeZones);
  for (const auto& balancer : site.balancers) {
    std::size_t wanted = 0;
    std::size_t own_zone = 0;
    for (const auto& [address, agent] : balancer->router->agents().all()) {
      wanted += agent->reports_wanted() ? 1 : 0;
      own_zone += agent->reports_wanted() && agent->zone() == "a" ? 1 : 0;
    }
    CHECK(wanted == AgentSubscriptions::kAgentsPerService);
    if (balancer == site.balancers[0]) {
      CHECK(own_zone >= AgentSubscriptions::kOwnZoneAgents);
    }
  }
}

TEST_CASE("agents of other zones report less often unless they are in use") {
  FlowSite site(6, 120, 3, kThreeZones);
  const FlowSite::Balancer& balancer = *site.balancers[0];
  const AgentTable& table = balancer.router->agents();
  std::map<SocketAddress, std::size_t> reports;
  site.on_report = [&](const SocketAddress& from, const SocketAddress& to,
                       const AgentStatus& /*status*/) {
    reports[from] += to == balancer.address ? 1 : 0;
  };
  site.Run(seconds(2));
  for (const auto& [address, agent] : table.all()) {
    const bool own_zone = agent->zone() == "a";
    if (agent->reports_wanted()) {
      CHECK(agent->IsReporting());
      CHECK(reports[address] >= (own_zone ? 18 : 3));
      CHECK(reports[address] <= (own_zone ? 21 : 5));
    } else {
      CHECK(reports[address] == 0);
    }
  }
  SUBCASE("one that gets packets reports often") {
    const auto remote = std::find_if(
        table.all().begin(), table.all().end(), [](const auto& item) {
          return item.second->reports_wanted() && item.second->zone() != "a";
        });
    const SocketAddress address = remote->first;
    remote->second->OnForwarded(site.clock.Now());
    site.Run(milliseconds(100));
    reports.clear();
    site.Run(seconds(2));
    CHECK(reports[address] >= 18);
  }
}

TEST_CASE("a balancer that is cut off trusts no infrequent reports") {
  FlowSite site(6, 120, 3, kThreeZones);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(300));
  site.is_lost = [&](const SocketAddress&, const SocketAddress& to) {
    return to == site.balancers[0]->address;
  };
  site.Run(seconds(3));
  CHECK_FALSE(site.balancers[0]->router->IsServing());
  CHECK(site.resets.empty());
}

TEST_CASE("every agent of a small service reports to every balancer") {
  FlowSite site(3, 11);
  for (std::size_t i = 0; i < site.balancers.size(); ++i) {
    CHECK(UnreportedAgents(&site, i).empty());
  }
}

TEST_CASE("pattern: a lost zone does not stop new flows") {
  FlowSite site(6, 120, 3, kThreeZones);
  for (const auto& agent : site.agents) {
    agent->running = agent->zone != "a";
  }
  site.Run(kLossDeadline);
  for (std::uint32_t caller = 1; caller <= 60; ++caller) {
    const FlowTuple tuple = FlowSite::Tuple(caller);
    site.Open(0, tuple);
    site.Run(milliseconds(10));
  }
  site.Run(milliseconds(300));
  for (std::uint32_t caller = 1; caller <= 60; ++caller) {
    CHECK(site.AnswersTo(FlowSite::Tuple(caller)) == 1);
  }
  CHECK(site.resets.empty());
}

TEST_CASE("the loss of an agent outside the subset ends its flows") {
  FlowSite site(6, 120, 3, kThreeZones);
  const std::vector<FlowSite::Agent*> outside = UnreportedAgents(&site, 3);
  // A flow that another balancer of the zone opened at such an agent.
  FlowTuple tuple;
  FlowSite::Agent* owner = nullptr;
  for (std::uint32_t caller = 1; owner == nullptr; ++caller) {
    tuple = FlowSite::Tuple(caller);
    site.Open(0, tuple);
    site.Run(milliseconds(200));
    if (std::count(outside.begin(), outside.end(), site.OwnerOf(tuple)) > 0) {
      owner = site.OwnerOf(tuple);
    }
  }
  site.SendRequest(3, tuple, 2);
  site.Run(milliseconds(300));
  REQUIRE(site.AnswersTo(tuple) == 2);
  SUBCASE("the balancer forwards packets to it") {}
  SUBCASE("the last packet was forwarded a minute ago") {
    site.Run(seconds(30));
    site.SendRequest(3, tuple, 3);
    site.Run(milliseconds(100));
  }
  owner->running = false;
  site.Run(kLossDeadline);
  CHECK(site.ResetsOf(tuple) >= 1);
}

TEST_CASE("a flow is reported to the balancers of its caller's zone only") {
  FlowSite site(6, 12, 3, kThreeZones);
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.Open(0, tuple);
  site.Run(milliseconds(200));
  CHECK(site.balancers[3]->router->flow_count() == 1);
  CHECK(site.balancers[1]->router->flow_count() == 0);
  CHECK(site.balancers[2]->router->flow_count() == 0);
  SUBCASE("its packets move within the zone") {
    site.SendRequest(3, tuple, 2);
    site.Run(milliseconds(100));
    CHECK(site.AnswersTo(tuple) == 2);
    CHECK(site.Decisions("flow_searched owner_unknown") == 0);
  }
  SUBCASE("its packets move to another zone") {
    site.SendRequest(1, tuple, 2);
    site.Run(milliseconds(100));
    CHECK(site.AnswersTo(tuple) == 2);
    // Balancers of the new zone know the flow now.
    site.Run(milliseconds(200));
    site.SendRequest(4, tuple, 3);
    site.Run(milliseconds(100));
    CHECK(site.AnswersTo(tuple) == 3);
    CHECK(site.Decisions("flow_searched owner_unknown") == 1);
  }
}

TEST_CASE("a restarted balancer learns the flows of its zone only") {
  FlowSite site(6, 12, 3, kThreeZones);
  for (std::uint32_t caller = 1; caller <= 30; ++caller) {
    site.Open(caller % 6, FlowSite::Tuple(caller));
  }
  site.Run(milliseconds(300));
  site.StartBalancer(0);
  site.Publish();
  site.Run(milliseconds(300));
  CHECK(site.balancers[0]->router->flow_count() == 10);
}

TEST_CASE("a late copy of a report does not revive a lost agent") {
  FlowSite site(1, 3);
  AgentStatus late;
  late.incarnation = Incarnation{1};
  late.service = "counter";
  late.zone = "a";
  late.report_interval = milliseconds(100);
  late.number = 1;
  FlowSite::Agent* lost = site.agents[0].get();
  lost->running = false;
  site.Run(kLossDeadline);
  FlowRouter& router = *site.balancers[0]->router;
  REQUIRE(router.agents().Find(lost->address)->silent());
  router.OnNodeMessage(lost->address, late, site.clock.Now());
  CHECK(router.agents().Find(lost->address)->silent());
  SUBCASE("a copy from the run before the last one") {
    site.StartAgent(0);
    site.Run(milliseconds(300));
    REQUIRE_FALSE(router.agents().Find(lost->address)->silent());
    lost->running = false;
    site.Run(kLossDeadline);
    late.number = 1000;
    router.OnNodeMessage(lost->address, late, site.clock.Now());
    CHECK(router.agents().Find(lost->address)->silent());
  }
}

TEST_CASE("pattern: after a common restart all balancers are announced") {
  // More balancers than one report can name.
  FlowSite site(30, 12, 3, kThreeZones);
  std::set<SocketAddress> announced;
  for (std::size_t i = 0; i < site.balancers.size(); ++i) {
    site.StartBalancer(i);
  }
  site.on_report = [&](const SocketAddress& from, const SocketAddress& /*to*/,
                       const AgentStatus& status) {
    if (from == site.agents[0]->address) {
      announced.insert(status.new_balancers.begin(),
                       status.new_balancers.end());
    }
  };
  site.Publish();
  site.Run(seconds(1));
  CHECK(announced.size() == site.balancers.size());
}

TEST_CASE(
    "pattern: a balancer that joins moves nearly all flows without searches") {
  FlowSite site(8, 60, 3, kThreeZones);
  constexpr std::uint32_t kFlows = 150;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    site.Open(caller % 8, FlowSite::Tuple(caller));
    site.Run(milliseconds(5));
  }
  site.Run(milliseconds(300));
  site.AddBalancer();
  site.Publish();
  site.Run(milliseconds(300));
  const std::size_t before = site.delivered;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    // Balancers 0, 3 and 6 are in the callers' zone of the first one, and so
    // on; the new one, 8, belongs to the zone of 2 and 5.
    const std::size_t zone = caller % 8 % 3;
    const std::size_t moved = zone == 2 ? 8 : (caller % 8 + 3) % 6;
    site.SendRequest(moved, FlowSite::Tuple(caller), 2);
  }
  const double per_packet =
      static_cast<double>(site.delivered - before) / kFlows;
  CHECK(per_packet <= 4.0);
  site.Run(milliseconds(500));
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    CHECK(site.AnswersTo(FlowSite::Tuple(caller)) == 2);
  }
  CHECK(site.resets.empty());
}

TEST_CASE("pattern: long-lived flows of a large zone stay in it") {
  FlowSite site(12, 90, 3, kThreeZones);
  constexpr std::uint32_t kFlows = 240;
  std::size_t own_zone = 0;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    site.Open(caller % 12, FlowSite::Tuple(caller));
    site.Run(milliseconds(10));
    own_zone += site.OwnerOf(FlowSite::Tuple(caller))->zone ==
                        FlowSite::ZoneName(caller % 3)
                    ? 1
                    : 0;
  }
  CHECK(own_zone >= kFlows * 9 / 10);
}

TEST_CASE("long-lived flows of a zone with few balancers stay in it") {
  // Two balancers of a zone with 30 agents, each with a subset of eight.
  FlowSite site(6, 90, 3, kThreeZones);
  constexpr std::uint32_t kFlows = 240;
  std::size_t own_zone = 0;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    site.Open(caller % 6, FlowSite::Tuple(caller));
    site.Run(milliseconds(10));
    own_zone += site.OwnerOf(FlowSite::Tuple(caller))->zone ==
                        FlowSite::ZoneName(caller % 3)
                    ? 1
                    : 0;
  }
  CHECK(own_zone >= kFlows * 9 / 10);
}

TEST_CASE("pattern: a zone with all callers also uses the other zones") {
  // Two balancers of one zone place all flows; the even share of the upstreams
  // that they select from, up to 40, is at least 6 flows.
  FlowSite site(6, 90, 3, kThreeZones);
  std::map<const FlowSite::Agent*, std::size_t> flows;
  for (std::uint32_t caller = 0; caller < 240; ++caller) {
    site.Open(caller % 2 * 3, FlowSite::Tuple(caller));
    site.Run(milliseconds(10));
    ++flows[site.OwnerOf(FlowSite::Tuple(caller))];
  }
  std::size_t other_zones = 0;
  std::size_t most = 0;
  for (const auto& [agent, count] : flows) {
    other_zones += agent->zone == "a" ? 0 : count;
    most = std::max(most, count);
  }
  CHECK(other_zones >= 60);
  CHECK(most <= 12);
}

TEST_CASE("a search queries the agents of the own zone first") {
  FlowSite site(2, 60, 3, {2, 3});
  const FlowTuple tuple = FlowSite::Tuple(1);
  site.SendSyn(0, tuple);
  const bool in_zone = site.OwnerOf(tuple) == nullptr;
  REQUIRE(in_zone);
  // Balancer 1 is in another zone than the one that placed the flow.
  site.queried = 0;
  site.delivered = 0;
  SUBCASE("an agent of another zone holds the flow") {
    site.SendRequest(1, tuple);
    CHECK(site.queried == 60);
  }
  SUBCASE("an agent of the own zone holds the flow") {
    site.StartBalancer(0);
    site.Publish();
    site.Run(milliseconds(200));
    site.queried = 0;
    site.delivered = 0;
    site.SendRequest(0, tuple);
    CHECK(site.queried == 20);
  }
  SUBCASE("an agent of the own zone does not answer") {
    FlowSite::Agent* lost = site.agents[1].get();
    lost->running = false;
    site.SendRequest(1, tuple);
    CHECK(site.queried == 20);
    site.Run(milliseconds(60));
    CHECK(site.queried == 60);
  }
  site.Run(milliseconds(300));
  // The owner alone gets the packet.
  CHECK(site.delivered == 1);
  CHECK(site.AnswersTo(tuple) == 1);
  CHECK(site.resets.empty());
}

TEST_CASE("flows of a report that was overtaken by the next one are known") {
  FlowSite site(1, 3);
  FlowRouter& router = *site.balancers[0]->router;
  const SocketAddress agent = site.agents[0]->address;
  AgentStatus first;
  first.incarnation = router.agents().Find(agent)->incarnation();
  first.service = "counter";
  first.zone = "a";
  first.report_interval = milliseconds(100);
  first.number = 1000;
  AgentStatus second = first;
  second.number = 1001;
  const FlowTuple tuple = FlowSite::Tuple(1);
  first.opened = {{tuple, 1}};
  router.OnNodeMessage(agent, second, site.clock.Now());
  router.OnNodeMessage(agent, first, site.clock.Now());
  CHECK(router.flow_count() == 1);
}

TEST_CASE("processes of the version before report requests work as before") {
  // An agent that ignores requests reports to all, with every flow.
  FlowSite site(2, 3);
  const SocketAddress old_balancer{0x0A010063, FlowSite::kNodePort};
  BalancerHeartbeat heartbeat;
  heartbeat.incarnation = Incarnation{99};
  FlowTracker& tracker = *site.agents[0]->tracker;
  tracker.OnNodeMessage(old_balancer, heartbeat, site.clock.Now());
  site.control_received.clear();
  site.Run(seconds(1));
  CHECK(site.control_received[old_balancer] >= 8);

  AgentStatus status;
  status.incarnation = Incarnation{98};
  status.service = "counter";
  status.zone = "a";
  const SocketAddress old_agent{0x0A020063, FlowSite::kAgentPort};
  FlowRouter& router = *site.balancers[0]->router;
  for (int i = 0; i < 5; ++i) {
    router.OnNodeMessage(old_agent, status, site.clock.Now());
    site.Run(milliseconds(100));
  }
  CHECK_FALSE(router.agents().Find(old_agent)->silent());
}

}  // namespace fireflytrestle
