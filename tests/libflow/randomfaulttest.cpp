#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <random>

#include "flowsite.h"
#include "straypacketlog.h"

namespace fireflytrestle {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// \brief Random faults and load on a small site, with the invariants that must
/// hold at all times.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : m_random(seed), m_site(kBalancers, kAgents), m_stray_packets(&m_site) {
    m_site.is_lost = [this](const SocketAddress& from,
                            const SocketAddress& to) {
      return m_cut.contains(from) || m_cut.contains(to) ||
             Draw(1000) < m_loss_permille;
    };
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (step % kStepsPerFault == 0) {
        CauseFault();
      }
      for (std::uint64_t load = Draw(3); load > 0; --load) {
        UseFlow();
      }
      SendCopies();
      m_site.Run(kStep);
      Observe();
    }
    Heal();
    HealPlanned();
    for (Duration passed{}; passed < seconds(5); passed += kStep) {
      m_site.Run(kStep);
      Observe();
    }
    CheckServesNewFlows();
  }

 private:
  static constexpr std::size_t kBalancers = 3;
  static constexpr std::size_t kAgents = 5;
  static constexpr int kSteps = 1500;
  static constexpr int kStepsPerFault = 60;
  static constexpr milliseconds kStep{20};
  /// An instance counts as stable this long after its last fault.
  static constexpr seconds kStableAfter{4};
  static constexpr std::uint32_t kOutageLossPermille = 250;
  /// Callers send a packet again after these times.
  static constexpr milliseconds kRetransmissions[] = {
      milliseconds(200), milliseconds(600), milliseconds(1400),
      milliseconds(3000)};

  struct Flow {
    FlowTuple tuple;
    std::uint32_t requests = 0;
    /// Index of the agent whose upstream holds the flow, once observed.
    std::optional<std::size_t> owner;
  };

  /// A caller's packet that is sent again unless it has been answered.
  struct Copy {
    TimePoint due;
    FlowTuple tuple;
    std::uint32_t request = 0;
  };

  std::uint64_t Draw(std::uint64_t below) { return m_random() % below; }

  TimePoint now() const { return m_site.clock.Now(); }

  void MarkFaulty(const SocketAddress& address) {
    m_last_fault[address] = now();
  }

  bool IsStable(const SocketAddress& address) const {
    const auto position = m_last_fault.find(address);
    return position == m_last_fault.end() ||
           now() - position->second > kStableAfter;
  }

  void CauseFault() {
    Heal();
    auto& agent = *m_site.agents[Draw(kAgents)];
    const std::size_t balancer = Draw(kBalancers);
    const std::uint64_t fault = Draw(8);
    m_faults += " " +
                std::to_string(now().time_since_epoch().count() / 1000000) +
                ":" + std::to_string(fault) + ":" + ToString(agent.address) +
                "/" + std::to_string(balancer);
    switch (fault) {
      case 0:
        agent.running = false;
        MarkFaulty(agent.address);
        break;
      case 1:
        m_site.balancers[balancer]->running = false;
        MarkFaulty(m_site.balancers[balancer]->address);
        break;
      case 2:
        m_cut.insert(agent.address);
        MarkFaulty(agent.address);
        break;
      case 3:
        m_cut.insert(m_site.balancers[balancer]->address);
        MarkFaulty(m_site.balancers[balancer]->address);
        break;
      case 4:
        agent.upstream->Restart();
        agent.entry.cold_left = seconds(2);
        m_site.BumpRevision(&agent);
        MarkFaulty(agent.address);
        ++m_lifetimes[agent.address];
        break;
      case 5:
        agent.entry.draining = !agent.entry.draining;
        m_site.BumpRevision(&agent);
        break;
      case 6:
        m_loss_permille = kOutageLossPermille / 5;
        for (const auto& each : m_site.agents) {
          MarkFaulty(each->address);
        }
        break;
      default:
        // Planned restart: it is announced, and the agent is back when the
        // fault is healed.
        if (!agent.running) {
          break;
        }
        agent.tracker->BeginStop(now());
        m_site.DeliverAll();
        agent.running = false;
        m_planned.insert(agent.address);
    }
    m_site.Publish();
  }

  void Heal() {
    m_cut.clear();
    m_loss_permille = 0;
    for (std::size_t i = 0; i < kAgents; ++i) {
      auto& agent = *m_site.agents[i];
      if (!agent.running && !m_planned.contains(agent.address)) {
        m_site.StartAgent(i);
        MarkFaulty(agent.address);
      }
    }
    // Some planned restarts take two periods.
    if (std::exchange(m_planned_overdue, !m_planned_overdue) || Draw(2) == 0) {
      HealPlanned();
    }
    for (std::size_t i = 0; i < kBalancers; ++i) {
      if (!m_site.balancers[i]->running) {
        m_site.StartBalancer(i);
        MarkFaulty(m_site.balancers[i]->address);
      }
    }
    for (const auto& [address, at] : std::map(m_last_fault)) {
      if (now() - at < milliseconds(1300)) {
        m_last_fault[address] = now();
      }
    }
    m_site.Publish();
  }

  void HealPlanned() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (m_planned.contains(m_site.agents[i]->address)) {
        m_site.StartAgent(i);
      }
    }
    m_planned.clear();
    m_planned_overdue = false;
  }

  /// Returns any balancer that runs and is serving, as a router does; 0 if none
  /// is found.
  std::size_t PickBalancer() {
    for (int tries = 0; tries < 20; ++tries) {
      const std::size_t index = Draw(kBalancers);
      if (m_site.balancers[index]->running &&
          m_site.balancers[index]->router->IsServing()) {
        return index;
      }
    }
    return 0;
  }

  void UseFlow() {
    const std::size_t balancer = PickBalancer();
    if (!m_site.balancers[balancer]->running) {
      return;
    }
    if (m_flows.empty() || Draw(4) == 0) {
      Flow flow;
      flow.tuple = FlowSite::Tuple(
          ++m_callers,
          Draw(3) == 0 ? FlowSite::kNonIdempotentRoute : FlowSite::kRoute);
      m_site.SendSyn(balancer, flow.tuple);
      if (m_site.SynAckSequence(flow.tuple) == 0) {
        return;
      }
      m_flows.push_back(flow);
    }
    Flow& flow = m_flows[Draw(m_flows.size())];
    m_site.SendRequest(balancer, flow.tuple, ++flow.requests);
    for (const milliseconds pause : kRetransmissions) {
      m_copies.push_back({now() + pause, flow.tuple, flow.requests});
    }
    if (m_flows.size() > 60) {
      m_flows.erase(m_flows.begin());
    }
    Observe();
  }

  void SendCopies() {
    std::vector<Copy> due;
    std::erase_if(m_copies, [&](const Copy& copy) {
      if (copy.due > now()) {
        return false;
      }
      due.push_back(copy);
      return true;
    });
    for (const Copy& copy : due) {
      const std::size_t balancer = PickBalancer();
      if (m_site.balancers[balancer]->running &&
          m_site.ResetsOf(copy.tuple) == 0 &&
          m_site.AnswersTo(copy.tuple) < copy.request) {
        m_site.SendRequest(balancer, copy.tuple, copy.request);
      }
    }
  }

  /// Checks that the packets of no open flow reach other upstreams and none its
  /// own, while the instances are stable.
  void CheckStrayPackets() {
    for (const Flow& flow : m_flows) {
      if (flow.owner && IsStable(m_site.agents[*flow.owner]->address) &&
          m_site.agents[*flow.owner]->upstream->flows.contains(flow.tuple) &&
          m_stray_packets.RecentStrayPackets(flow.tuple) >=
              StrayPacketLog::kMinStrayPackets) {
        FAIL("packets of the open flow of "
             << ToString(flow.tuple.caller)
             << " reach other upstreams and none its own, at "
             << ToString(m_site.agents[*flow.owner]->address)
             << "; faults:" << m_faults);
      }
    }
  }

  void Observe() {
    CheckStrayPackets();
    for (Flow& flow : m_flows) {
      for (std::size_t i = 0; i < kAgents; ++i) {
        if (m_site.agents[i]->upstream->flows.contains(flow.tuple)) {
          flow.owner = i;
        }
      }
    }
    for (; m_seen_resets < m_site.resets.size(); ++m_seen_resets) {
      CheckReset(m_site.resets[m_seen_resets],
                 m_site.reset_senders[m_seen_resets]);
    }
    for (const auto& agent : m_site.agents) {
      auto& seen = m_seen_starts[agent->address];
      for (; seen < agent->upstream->started.size(); ++seen) {
        const FlowPacket& request = agent->upstream->started[seen];
        // Copies of a packet may reach only the upstream of its flow, which
        // recognizes them.
        auto& upstreams = m_runs[{request.source, request.sequence}];
        upstreams.insert(agent->address);
        if (upstreams.size() > 1) {
          FAIL("request " << request.sequence << " of "
                          << ToString(request.source) << " ran twice");
        }
      }
    }
  }

  /// Checks that no open flow is reset that its upstream still holds, while the
  /// upstream's instance and the sender are stable.
  void CheckReset(const FlowTuple& tuple, const SocketAddress& sender) {
    std::erase_if(m_flows, [&](const Flow& flow) {
      if (flow.tuple != tuple) {
        return false;
      }
      if (flow.owner) {
        const auto& agent = *m_site.agents[*flow.owner];
        const bool lives = agent.upstream->flows.contains(tuple);
        const bool calm = IsStable(agent.address) && IsStable(sender);
        if (lives && calm) {
          FAIL("open flow of " << ToString(tuple.caller) << " reset by "
                               << ToString(sender) << " while "
                               << ToString(agent.address)
                               << " holds it; faults:" << m_faults);
        }
      }
      return true;
    });
  }

  /// Checks that every new flow is served at once after all faults are healed.
  void CheckServesNewFlows() {
    for (const auto& agent : m_site.agents) {
      agent->entry.draining = false;
      m_site.BumpRevision(agent.get());
    }
    m_site.Publish();
    for (int i = 0; i < 10; ++i) {
      const FlowTuple tuple = FlowSite::Tuple(++m_callers);
      m_site.Open(i % kBalancers, tuple);
      m_site.Run(milliseconds(100));
      REQUIRE(m_site.AnswersTo(tuple) == 1);
    }
  }

  std::mt19937_64 m_random;
  FlowSite m_site;
  StrayPacketLog m_stray_packets;
  std::vector<Copy> m_copies;
  std::uint32_t m_callers = 0;
  std::vector<Flow> m_flows;
  std::set<SocketAddress> m_cut;
  std::set<SocketAddress> m_planned;
  /// The agents in \ref m_planned have been down for a period.
  bool m_planned_overdue = false;
  std::uint64_t m_loss_permille = 0;
  std::map<SocketAddress, TimePoint> m_last_fault;
  std::map<SocketAddress, int> m_lifetimes;
  std::string m_faults;
  std::size_t m_seen_resets = 0;
  std::map<SocketAddress, std::size_t> m_seen_starts;
  std::map<std::pair<SocketAddress, std::uint32_t>, std::set<SocketAddress>>
      m_runs;
};

}  // namespace

TEST_CASE("random faults violate no invariant of flows and requests") {
  constexpr std::uint64_t kFirstSeed = 20261204;
  const char* more = std::getenv("FIREFLYTRESTLE_SOAK_SEEDS");
  const std::uint64_t kSeeds = more ? std::stoul(more) : 20;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    CAPTURE(seed);
    RandomRun(seed).Run();
  }
}

}  // namespace fireflytrestle
