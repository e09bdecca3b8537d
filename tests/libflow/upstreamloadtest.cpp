#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "flowsite.h"
#include "libflow/agentselector.h"
#include "libflow/recentwork.h"
#include "libflow/runningrequests.h"
#include "libflow/workestimator.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr FlowClass kShort{false, false, milliseconds(120), milliseconds(800)};
constexpr FlowClass kLong{true, true, milliseconds(120), milliseconds(800)};

constexpr bool kWithoutFigures = false;
constexpr bool kWithFigures = true;

/// What became of flows.
struct Arrivals {
  std::size_t flows = 0;
  std::size_t in_time = 0;
  /// Flows that reached each upstream.
  std::vector<std::size_t> opened;
};

/// \brief Short flows that arrive at random, with a fixed seed.
class Traffic {
 public:
  explicit Traffic(FlowSite* site) : m_site(site) {}

  /// Opens flows at random balancers for \p time, and waits for the answers.
  Arrivals Run(double per_second, Duration time) {
    Arrivals arrivals;
    std::exponential_distribution<double> gap(per_second / 1000.0);
    std::vector<std::size_t> before;
    for (const auto& agent : m_site->agents) {
      before.push_back(agent->upstream->opened.size());
    }
    std::map<FlowTuple, TimePoint, TupleLess> sent;
    const TimePoint start = m_site->clock.Now();
    std::size_t seen = m_site->to_callers.size();
    double next = gap(m_random);
    while (m_site->clock.Now() - start < time + kShort.timeout) {
      m_site->Run(milliseconds(5));
      const TimePoint now = m_site->clock.Now();
      const double passed =
          std::chrono::duration<double, std::milli>(now - start).count();
      for (; next <= passed && now - start < time; next += gap(m_random)) {
        const FlowTuple tuple =
            FlowSite::Tuple(++m_callers, FlowSite::kNonIdempotentRoute);
        sent[tuple] = now;
        ++arrivals.flows;
        m_site->Open(m_random() % m_site->balancers.size(), tuple);
      }
      for (; seen < m_site->to_callers.size(); ++seen) {
        const FlowPacket& packet = m_site->to_callers[seen];
        const auto flow = sent.find({packet.destination, packet.source});
        arrivals.in_time +=
            packet.data_bytes > 0 && flow != sent.end() &&
                    now - flow->second <= kShort.latency_objective
                ? 1
                : 0;
      }
    }
    for (std::size_t i = 0; i < before.size(); ++i) {
      arrivals.opened.push_back(m_site->agents[i]->upstream->opened.size() -
                                before[i]);
    }
    return arrivals;
  }

 private:
  FlowSite* m_site;
  std::mt19937_64 m_random{20261206};
  std::uint32_t m_callers = 5000;
};

/// Removes the figures from all reports, as in those of an earlier version.
void DropFigures(FlowSite* site) {
  site->edit_report = [](AgentStatus* status) { status->load.reset(); };
}

/// One of six upstreams is five times slower.
Arrivals RunWithSlowUpstream(bool has_figures) {
  FlowSite site(4, 6, 2, {1, 1});
  if (!has_figures) {
    DropFigures(&site);
  }
  site.agents[0]->upstream->work = milliseconds(100);
  Traffic traffic(&site);
  traffic.Run(250, std::chrono::seconds(2));
  return traffic.Run(250, std::chrono::seconds(8));
}

/// Checks that no fewer flows are answered in time with figures than by count
/// alone, on the same arrivals, with a slow upstream and after \p failure.
void CheckFailure(const std::function<void(FlowSite*)>& failure) {
  const auto run = [&](bool has_figures) {
    FlowSite site(4, 6, 2, {1, 1});
    if (!has_figures) {
      DropFigures(&site);
    }
    site.agents[0]->upstream->work = milliseconds(100);
    Traffic traffic(&site);
    traffic.Run(250, std::chrono::seconds(2));
    failure(&site);
    return traffic.Run(250, std::chrono::seconds(3));
  };
  const Arrivals today = run(kWithoutFigures);
  const Arrivals arrivals = run(kWithFigures);
  MESSAGE("in time " << arrivals.in_time << " (by count " << today.in_time
                     << ") of " << arrivals.flows);
  CHECK(arrivals.in_time >= today.in_time);
}

AgentStatus Report(std::uint32_t running,
                   std::uint32_t long_flows,
                   milliseconds wait,
                   milliseconds work) {
  AgentStatus status;
  status.incarnation = Incarnation{1};
  status.service = "counter";
  status.zone = "a";
  status.running = running;
  status.long_flows = long_flows;
  status.report_interval = milliseconds(100);
  status.load = UpstreamLoad{wait, work};
  return status;
}

/// Agents of one service at one balancer, on a paused clock.
struct Peers {
  ManualClock clock;
  SiteView view;
  std::vector<AgentPeerPtr> agents;

  explicit Peers(std::size_t count) {
    clock.Advance(std::chrono::seconds(10));
    view.configuration_version = 1;
    for (std::uint32_t i = 0; i < count; ++i) {
      agents.push_back(
          std::make_shared<AgentPeer>(SocketAddress{0x0A020000U + i, 8000}));
      UpstreamEntry entry;
      entry.service = "counter";
      entry.zone = "a";
      entry.slots = 2;
      agents.back()->OnView(&entry, view, clock.Now());
      agents.back()->RequestReports(milliseconds(100), clock.Now());
    }
  }

  void OnReport(std::size_t agent, const AgentStatus& status) {
    agents[agent]->OnStatus(status, clock.Now());
  }

  /// Returns the number of the selected agent.
  std::size_t Select(std::uint32_t caller, bool long_lived) const {
    const AgentPeerPtr agent =
        SelectAgent(agents, FlowSite::Tuple(caller),
                    long_lived ? kLong : kShort, {}, "a", clock.Now());
    return static_cast<std::size_t>(
        std::find(agents.begin(), agents.end(), agent) - agents.begin());
  }
};

}  // namespace

// Guards against a slow upstream that gets as many flows as any other, whose
// callers then wait for it.
TEST_CASE("an upstream that is five times slower gets at most a fifth") {
  const Arrivals today = RunWithSlowUpstream(kWithoutFigures);
  const Arrivals arrivals = RunWithSlowUpstream(kWithFigures);
  const std::size_t others = (arrivals.flows - arrivals.opened[0]) / 5;
  MESSAGE("flows at the slow upstream "
          << arrivals.opened[0] << " (by count " << today.opened[0]
          << "), in time " << arrivals.in_time << " (by count " << today.in_time
          << ") of " << arrivals.flows);
  CHECK(arrivals.opened[0] <= others / 5);
  CHECK(arrivals.in_time >= today.in_time);
  CHECK(arrivals.in_time >= arrivals.flows * 95 / 100);
}

// Guards against an upstream that is never tried again after it was slow.
TEST_CASE("an upstream that was slow gets its share again") {
  FlowSite site(4, 6, 2, {1, 1});
  FakeUpstream& slow = *site.agents[0]->upstream;
  slow.work = milliseconds(100);
  Traffic traffic(&site);
  traffic.Run(250, std::chrono::seconds(4));
  slow.work = milliseconds(20);
  traffic.Run(250, std::chrono::seconds(4));
  const Arrivals arrivals = traffic.Run(250, std::chrono::seconds(4));
  CHECK(arrivals.opened[0] >= arrivals.flows / 12);
}

// Guards against reports of an earlier version, or without figures, that
// change a choice.
TEST_CASE("without figures flows are placed by the numbers of requests") {
  Peers peers(8);
  std::mt19937_64 random(20261206);
  for (int round = 0; round < 200; ++round) {
    for (std::size_t i = 0; i < peers.agents.size(); ++i) {
      AgentStatus status =
          Report(static_cast<std::uint32_t>(random() % 6),
                 static_cast<std::uint32_t>(random() % 20), {}, {});
      status.load.reset();
      peers.OnReport(i, status);
    }
    for (const bool long_lived : {false, true}) {
      const std::size_t chosen =
          peers.Select(static_cast<std::uint32_t>(round), long_lived);
      for (const AgentPeerPtr& agent : peers.agents) {
        CHECK(peers.agents[chosen]->Load(long_lived, peers.clock.Now()) <=
              agent->Load(long_lived, peers.clock.Now()));
      }
    }
  }
}

// Guards against a balancer that knows few figures yet and sends its flows to
// the slow upstream, or all of them to the same one.
TEST_CASE("a balancer that has just started places no worse than by count") {
  CheckFailure([](FlowSite* site) {
    site->StartBalancer(0);
    site->Publish();
  });
}

TEST_CASE(
    "a balancer parted from half of the agents is no worse than by count") {
  CheckFailure([](FlowSite* site) {
    const SocketAddress balancer = site->balancers[0]->address;
    std::vector<SocketAddress> parted;
    for (std::size_t i = 0; i < site->agents.size(); i += 2) {
      parted.push_back(site->agents[i]->address);
    }
    site->is_lost = [=](const SocketAddress& from, const SocketAddress& to) {
      const SocketAddress& agent = from == balancer ? to : from;
      return (from == balancer || to == balancer) &&
             std::find(parted.begin(), parted.end(), agent) != parted.end();
    };
  });
}

TEST_CASE("an agent that starts again places no worse than by count") {
  CheckFailure([](FlowSite* site) { site->StartAgent(0); });
}

TEST_CASE("lost reports of all agents place no worse than by count") {
  CheckFailure([](FlowSite* site) {
    auto count = std::make_shared<int>(0);
    site->is_lost = [count](const SocketAddress& from, const SocketAddress&) {
      return from.port == FlowSite::kAgentPort && ++*count % 3 == 0;
    };
  });
}

TEST_CASE("agents of an earlier version place no worse than by count") {
  CheckFailure([](FlowSite* site) {
    if (site->edit_report) {
      return;
    }
    site->edit_report = [](AgentStatus* status) {
      if (static_cast<std::uint64_t>(status->incarnation) % 2 == 0) {
        status->load.reset();
      }
    };
  });
}

// Guards against figures of the past that decide after reports were lost.
TEST_CASE("figures of an overdue report are not used") {
  Peers peers(2);
  peers.OnReport(0, Report(0, 0, milliseconds(0), milliseconds(100)));
  peers.OnReport(1, Report(2, 0, milliseconds(0), milliseconds(20)));
  CHECK(peers.Select(1, false) == 1);
  peers.clock.Advance(milliseconds(300));
  CHECK_FALSE(peers.agents[0]->Work(peers.clock.Now()));
  CHECK(peers.Select(1, false) == 0);
}

// Guards against balancers that all send their next flow to the upstream that
// seems a little better than the others.
TEST_CASE("flows spread over upstreams whose figures differ a little") {
  Peers peers(8);
  for (std::uint32_t i = 0; i < 8; ++i) {
    peers.OnReport(i, Report(0, 9, milliseconds(0), milliseconds(18 + i % 5)));
  }
  for (const bool long_lived : {false, true}) {
    std::vector<int> flows(8);
    for (std::uint32_t caller = 0; caller < 400; ++caller) {
      ++flows[peers.Select(caller, long_lived)];
    }
    CHECK(*std::max_element(flows.begin(), flows.end()) <= 80);
  }
}

// Guards against long-lived flows that are spread evenly over upstreams of
// different speed.
TEST_CASE("a slow upstream holds fewer long-lived flows") {
  Peers peers(4);
  for (std::size_t i = 0; i < 4; ++i) {
    const auto work = milliseconds(i == 0 ? 100 : 20);
    peers.OnReport(i, Report(0, 0, milliseconds(0), work));
  }
  std::vector<int> flows(4);
  for (std::uint32_t caller = 0; caller < 160; ++caller) {
    const std::size_t chosen = peers.Select(caller, true);
    ++flows[chosen];
    peers.agents[chosen]->OnFlowPlaced(true);
  }
  CHECK(flows[0] > 0);
  CHECK(flows[0] <= 160 / 8);
}

// Guards against callers that wait in a busy zone while another has room.
TEST_CASE("a zone short of room hands flows over before callers wait") {
  const auto run = [](bool has_figures) {
    FlowSite site(2, 8, 2, {2, 2});
    if (!has_figures) {
      DropFigures(&site);
    }
    Traffic traffic(&site);
    traffic.Run(200, std::chrono::seconds(2));
    // Zone a has room for 133 of its 150 flows a second, zone b for 400.
    for (std::size_t i = 0; i < site.agents.size(); i += 2) {
      site.agents[i]->upstream->work = milliseconds(60);
    }
    return traffic.Run(300, std::chrono::seconds(5));
  };
  const Arrivals today = run(kWithoutFigures);
  const Arrivals arrivals = run(kWithFigures);
  MESSAGE("in time " << arrivals.in_time << " (by count " << today.in_time
                     << ") of " << arrivals.flows);
  CHECK(arrivals.in_time >= today.in_time);
  CHECK(arrivals.in_time >= arrivals.flows * 95 / 100);
}

// Guards against an upstream that leaves requests without an answer while its
// liveness check is good, and therefore keeps getting flows.
TEST_CASE("a hanging upstream is known within a second") {
  FlowSite site(4, 6, 2, {1, 1});
  Traffic traffic(&site);
  traffic.Run(150, std::chrono::seconds(2));
  FakeUpstream& hanging = *site.agents[0]->upstream;
  hanging.work = std::chrono::hours(1);
  const Arrivals first = traffic.Run(150, std::chrono::seconds(1));
  const Arrivals later = traffic.Run(150, std::chrono::seconds(4));
  MESSAGE("flows at the hanging upstream in the first second "
          << first.opened[0] << ", in the next four " << later.opened[0]
          << " of " << later.flows);
  CHECK(first.opened[0] <= 10);
  // Probes at growing intervals.
  CHECK(later.opened[0] <= 12);
  CHECK(site.Decisions("upstream_failing requests_unanswered") >= 1);
}

// Guards against an upstream that hangs and seems to have a short wait, because
// few requests are there.
TEST_CASE("a hanging request counts with the time that it has taken") {
  ManualClock clock;
  WorkEstimator estimator;
  RunningRequests requests;
  requests.SetSlots(2);
  requests.Add(kShort, clock.Now());
  CHECK(requests.Wait(estimator, 0, {}, clock.Now()) == milliseconds(0));
  clock.Advance(milliseconds(100));
  // Within the usual tail, and a slot is free.
  CHECK(requests.Wait(estimator, 0, {}, clock.Now()) == milliseconds(0));
  clock.Advance(milliseconds(500));
  CHECK(requests.Wait(estimator, 0, {}, clock.Now()) >= milliseconds(300));
}

// Guards against one caller who vanishes in the middle of a request and makes a
// healthy upstream count as failing.
TEST_CASE("a request without an answer counts as one failure") {
  ManualClock clock;
  WorkEstimator estimator;
  for (int i = 0; i < 20; ++i) {
    estimator.OnAnswer(kShort, milliseconds(20));
  }
  RunningRequests requests;
  requests.SetSlots(2);
  requests.Add(kShort, clock.Now());
  int failures = 0;
  for (int i = 0; i < 60; ++i) {
    clock.Advance(milliseconds(50));
    failures += requests.TakeUnanswered(estimator, clock.Now());
  }
  CHECK(failures == 1);
}

// Guards against an upstream that seems infinitely fast for good after a pause
// of its agent.
TEST_CASE("answers that are read together after a pause give no estimate") {
  ManualClock clock;
  RunningRequests requests;
  requests.SetSlots(2);
  const auto running = requests.Add(kShort, clock.Now());
  clock.Advance(milliseconds(2000));
  requests.OnPause(clock.Now());
  CHECK_FALSE(requests.Remove(running, clock.Now()));
  RecentWork work;
  for (int i = 0; i < 5; ++i) {
    work.OnAnswer(milliseconds(0), clock.Now());
  }
  for (int i = 0; i < 100; ++i) {
    clock.Advance(milliseconds(20));
    work.OnAnswer(milliseconds(20), clock.Now());
  }
  const auto average = work.Average(clock.Now());
  REQUIRE(average);
  CHECK(*average >= milliseconds(15));
}

// Guards against a queue at a healthy upstream that is taken for a fault.
TEST_CASE("a long queue at an upstream is no failure") {
  ManualClock clock;
  WorkEstimator estimator;
  for (int i = 0; i < 20; ++i) {
    estimator.OnAnswer(kShort, milliseconds(20));
  }
  RunningRequests requests;
  requests.SetSlots(2);
  std::vector<std::uint64_t> numbers;
  for (int i = 0; i < 100; ++i) {
    numbers.push_back(requests.Add(kShort, clock.Now()));
  }
  for (std::size_t i = 0; i < numbers.size(); i += 5) {
    for (std::size_t answer = i; answer < i + 5; ++answer) {
      // Requests start in order of arrival, whatever their place in the queue.
      const auto work = requests.Remove(numbers[answer], clock.Now());
      CHECK(work.value_or(milliseconds(0)) <= milliseconds(50));
    }
    clock.Advance(milliseconds(50));
    CHECK(requests.TakeUnanswered(estimator, clock.Now()) == 0);
  }
}

// Guards against estimates that are too long after a restart under load: the
// requests of the earlier run still occupy the slots.
TEST_CASE("requests from before the slots were known begin before later ones") {
  ManualClock clock;
  RunningRequests requests;
  const std::uint64_t first = requests.Add(kShort, clock.Now());
  requests.Add(kShort, clock.Now());
  requests.SetSlots(2);
  const std::uint64_t later = requests.Add(kShort, clock.Now());
  clock.Advance(milliseconds(50));
  requests.Remove(first, clock.Now());
  clock.Advance(milliseconds(20));
  CHECK(requests.Remove(later, clock.Now()) == milliseconds(20));
}

// Guards against an agent that was held up itself and blames its upstream for
// answers that it has not read yet.
TEST_CASE("requests at an agent that was paused are no failures") {
  ManualClock clock;
  WorkEstimator estimator;
  for (int i = 0; i < 20; ++i) {
    estimator.OnAnswer(kShort, milliseconds(20));
  }
  RunningRequests requests;
  requests.SetSlots(2);
  requests.TakeUnanswered(estimator, clock.Now());
  requests.Add(kShort, clock.Now());
  clock.Advance(milliseconds(500));
  CHECK(requests.TakeUnanswered(estimator, clock.Now()) == 0);
  clock.Advance(milliseconds(50));
  CHECK(requests.TakeUnanswered(estimator, clock.Now()) == 1);
}

// Guards against a class of long requests that makes short ones seem long.
TEST_CASE("a slow class does not change the work of another") {
  WorkEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.OnAnswer(kShort, milliseconds(5));
    estimator.OnAnswer(kLong, milliseconds(200));
  }
  CHECK(estimator.Expected(kShort) <= milliseconds(6));
  CHECK(estimator.Expected(kLong) >= milliseconds(180));
}

// Guards against single long requests that make an upstream seem slow.
TEST_CASE("three long requests in a hundred change the work little") {
  ManualClock clock;
  RecentWork work;
  std::mt19937_64 random(20261206);
  for (int i = 0; i < 2000; ++i) {
    clock.Advance(milliseconds(30));
    const bool is_long = random() % 100 < 3;
    work.OnAnswer(milliseconds(is_long ? 140 : 16), clock.Now());
    if (i >= 100) {
      CHECK(work.Average(clock.Now()) >= milliseconds(14));
      CHECK(work.Average(clock.Now()) <= milliseconds(36));
    }
  }
}

}  // namespace fireflytrestle
