#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>

#include "fleet.h"
#include "rendezvousrouter.h"

// Measures how evenly many balancers distribute flows over targets, on a manual
// clock with a fixed seed. The results are the counters; the reported times are
// meaningless.

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// \brief A rejected design, for comparison: each balancer selects the target
/// with the fewest open flows according to the last reports that it received
/// and the OPENs that it has sent since.
class LeastLoadedFleet {
 public:
  LeastLoadedFleet(std::size_t balancers, std::size_t targets)
      : m_reported_open_flows(balancers, std::vector<std::uint32_t>(targets)),
        m_open_flows(targets) {}

  /// Opens a flow on the target that \p balancer selects and returns the
  /// target. Among equally loaded targets, the first one from \p first_compared
  /// on wins.
  std::size_t Open(std::size_t balancer, std::size_t first_compared) {
    std::vector<std::uint32_t>& reported_open_flows =
        m_reported_open_flows[balancer];
    std::size_t least = first_compared;
    for (std::size_t i = 0; i < reported_open_flows.size(); ++i) {
      const std::size_t target =
          (first_compared + i) % reported_open_flows.size();
      least = reported_open_flows[target] < reported_open_flows[least] ? target
                                                                       : least;
    }
    ++reported_open_flows[least];
    ++m_open_flows[least];
    return least;
  }

  void Close(std::size_t target) { --m_open_flows[target]; }

  void QueueLoadReport(std::size_t balancer,
                       std::size_t target,
                       TimePoint due) {
    m_reports.push_back({due, balancer, target, m_open_flows[target]});
  }

  void Deliver(TimePoint now) {
    for (; !m_reports.empty() && m_reports.front().due <= now;
         m_reports.pop_front()) {
      const PendingReport& report = m_reports.front();
      m_reported_open_flows[report.balancer][report.target] = report.open;
    }
  }

  std::uint32_t MaxOpenFlows() const {
    return *std::ranges::max_element(m_open_flows);
  }

 private:
  struct PendingReport {
    TimePoint due;
    std::size_t balancer;
    std::size_t target;
    std::uint32_t open;
  };

  std::vector<std::vector<std::uint32_t>> m_reported_open_flows;
  std::vector<std::uint32_t> m_open_flows;
  std::deque<PendingReport> m_reports;
};

/// Measures the ratio of the maximum to the mean number of open flows per
/// target, averaged over the second half of the run. Arguments: balancers,
/// targets, open flows, new flows per second, delay of answers in ms, seconds
/// between the packets of an established flow (0: no packets).
void Imbalance(benchmark::State& state) {
  const auto balancers = static_cast<std::size_t>(state.range(0));
  const auto targets = static_cast<std::size_t>(state.range(1));
  const auto open_flows = static_cast<std::size_t>(state.range(2));
  const auto opens_per_second = static_cast<double>(state.range(3));
  const auto ping_seconds = static_cast<double>(state.range(5));
  const std::size_t opens = open_flows * 6;
  std::array<double, 3> sum{};
  for (auto _ : state) {
    Fleet fleet;
    fleet.reply_delay = milliseconds(state.range(4));
    const Configuration view =
        MakeConfiguration(kService, 1, static_cast<std::uint32_t>(targets));
    std::vector<std::unique_ptr<PacketRouter>> routers(balancers);
    for (auto& router : routers) {
      router = fleet.MakeRouter(view);
    }
    RendezvousRouter baseline;
    baseline.InstallView(MakeRoutingView(view, {}));
    std::vector<std::uint32_t> baseline_open(targets);
    LeastLoadedFleet least_loaded(balancers, targets);
    std::vector<std::array<std::size_t, 3>> flows;
    double pings = 0;
    for (std::size_t i = 0; i < opens; ++i) {
      const std::size_t at = fleet.random.Below(balancers);
      const Nonce nonce = MakeNonce(fleet.random);
      const TimePoint due = fleet.clock.Now() + fleet.reply_delay;
      const std::size_t chosen =
          static_cast<std::size_t>(
              *fleet.Send(*routers[at], OpenMessage{nonce}).reached) -
          1;
      const std::size_t hashed =
          static_cast<std::size_t>(baseline.Route(kService, nonce)->id) - 1;
      const std::size_t least =
          least_loaded.Open(at, fleet.random.Below(targets));
      least_loaded.QueueLoadReport(at, least, due);
      ++baseline_open[hashed];
      flows.push_back({chosen, hashed, least});
      if (flows.size() > open_flows) {
        std::swap(flows[fleet.random.Below(flows.size())], flows.back());
        const auto closed = flows.back();
        flows.pop_back();
        --fleet.agents[fleet.TargetIdAt(closed[0])].open_flows;
        --baseline_open[closed[1]];
        least_loaded.Close(closed[2]);
      }
      pings += ping_seconds > 0 ? static_cast<double>(flows.size()) /
                                      ping_seconds / opens_per_second
                                : 0;
      for (; pings >= 1; pings -= 1) {
        const auto& flow = flows[fleet.random.Below(flows.size())];
        const std::size_t through = fleet.random.Below(balancers);
        fleet.QueueLoadReport(*routers[through], fleet.TargetIdAt(flow[0]));
        least_loaded.QueueLoadReport(through, flow[2], due);
      }
      fleet.Advance(Seconds(1 / opens_per_second));
      least_loaded.Deliver(fleet.clock.Now());
      if (i >= opens / 2) {
        std::uint32_t maximum = 0;
        for (std::size_t target = 0; target < targets; ++target) {
          maximum = std::max(maximum,
                             fleet.agents[fleet.TargetIdAt(target)].open_flows);
        }
        sum[0] += maximum;
        sum[1] += *std::ranges::max_element(baseline_open);
        sum[2] += least_loaded.MaxOpenFlows();
      }
    }
  }
  const double scale = static_cast<double>(targets) /
                       static_cast<double>(open_flows * (opens - opens / 2));
  state.counters["chosen"] = sum[0] * scale;
  state.counters["rendezvous"] = sum[1] * scale;
  state.counters["least_loaded"] = sum[2] * scale;
}

/// Measures the effect of one of seven targets that does not answer for 30 s.
/// Callers repeat an unanswered OPEN every second, and flows that are already
/// open send a packet every 5 s; each packet arrives at a random balancer.
/// Arguments: balancers, OPENs per second and open flows, the last two summed
/// over all balancers and targets. Counters: the OPENs that waited for an
/// answer, their total and longest wait in seconds, and the seconds from the
/// moment when the target answers again until it receives a new flow.
void SilentTarget(benchmark::State& state) {
  constexpr std::chrono::seconds kOutageDuration{30};
  constexpr std::chrono::seconds kOpenRetryInterval{1};
  constexpr std::size_t kTargets = 7;
  struct PendingOpen {
    TimePoint first_sent;
    TimePoint due;
    Nonce nonce;
  };
  const auto balancers = static_cast<std::size_t>(state.range(0));
  const Duration step = Seconds(1 / static_cast<double>(state.range(1)));
  const double pings_per_step = static_cast<double>(state.range(2)) / 5 /
                                static_cast<double>(state.range(1));
  std::uint64_t waited = 0;
  Duration total_wait{0};
  Duration longest_wait{0};
  Duration recovery{0};
  for (auto _ : state) {
    Fleet fleet;
    const Configuration view = MakeConfiguration(kService, 1, kTargets);
    std::vector<std::unique_ptr<PacketRouter>> routers(balancers);
    for (auto& router : routers) {
      router = fleet.MakeRouter(view);
    }
    FakeAgent& silent = fleet.agents[TargetId{3}];
    std::deque<PendingOpen> pending_opens;
    double pings = 0;
    const auto open = [&](PendingOpen caller) {
      PacketRouter& router = *routers[fleet.random.Below(balancers)];
      if (!fleet.Send(router, OpenMessage{caller.nonce}).flow) {
        caller.due = fleet.clock.Now() + kOpenRetryInterval;
        pending_opens.push_back(caller);
        return;
      }
      const Duration wait = fleet.clock.Now() - caller.first_sent;
      waited += wait > Duration{0} ? 1 : 0;
      total_wait += wait;
      longest_wait = std::max(longest_wait, wait);
    };
    const auto tick = [&] {
      for (; !pending_opens.empty() &&
             pending_opens.front().due <= fleet.clock.Now();) {
        const PendingOpen caller = pending_opens.front();
        pending_opens.pop_front();
        open(caller);
      }
      open({fleet.clock.Now(), {}, MakeNonce(fleet.random)});
      for (pings += pings_per_step; pings >= 1; pings -= 1) {
        const auto id =
            static_cast<std::uint32_t>(1 + fleet.random.Below(kTargets));
        fleet.Send(*routers[fleet.random.Below(balancers)],
                   PingMessage{MakeToken(MakeTarget(id, kService), 1)});
      }
      fleet.Advance(step);
    };
    const auto run = [&](Duration time) {
      for (Duration at{0}; at < time; at += step) {
        tick();
      }
    };
    run(std::chrono::seconds(5));
    silent.silent = true;
    run(kOutageDuration);
    silent.silent = false;
    const std::uint32_t before = silent.open_flows;
    const TimePoint back = fleet.clock.Now();
    while (silent.open_flows == before &&
           fleet.clock.Now() < back + kOutageDuration) {
      tick();
    }
    recovery = fleet.clock.Now() - back;
  }
  const auto in_seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  state.counters["waited"] = static_cast<double>(waited);
  state.counters["total_wait"] = in_seconds(total_wait);
  state.counters["longest_wait"] = in_seconds(longest_wait);
  state.counters["recovery"] = in_seconds(recovery);
}

BENCHMARK(Imbalance)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1)
    ->Args({1, 7, 7000, 1000, 1, 5})
    ->Args({20, 4, 300, 10, 5, 5})
    ->Args({20, 7, 1000, 50, 5, 5})
    ->Args({20, 7, 10000, 5000, 5, 5})
    ->Args({50, 7, 700, 1000, 100, 5})
    ->Args({50, 7, 7000, 1000, 100, 5})
    ->Args({50, 7, 7000, 1000, 500, 5})
    ->Args({200, 7, 10000, 5000, 5, 5})
    ->Args({1000, 4, 5000, 44, 1, 5})
    ->Args({100, 100, 50000, 5000, 5, 5});
BENCHMARK(SilentTarget)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1)
    ->Args({1, 1000, 7000})
    ->Args({20, 1000, 7000})
    ->Args({20, 100, 7000})
    ->Args({20, 100, 0})
    ->Args({20, 10, 700})
    ->Args({20, 10, 0})
    ->Args({200, 100, 7000});

}  // namespace

}  // namespace fireflytrestle

BENCHMARK_MAIN();
