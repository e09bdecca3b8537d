#ifndef FIREFLYTRESTLE_TESTS_LIBFLOW_FLOWSITE_H_
#define FIREFLYTRESTLE_TESTS_LIBFLOW_FLOWSITE_H_

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fakeupstream.h"
#include "libbase/manualclock.h"
#include "libflow/flowdecision.h"
#include "libflow/flowoutput.h"
#include "libflow/flowrouter.h"
#include "libflow/flowtracker.h"
#include "libflow/nodemessagecodec.h"
#include "libsite/siteview.h"
#include "plaincodec.h"

namespace fireflytrestle {

/// \brief A small site on a manual clock: balancers, agents and upstreams that
/// exchange encoded messages without a network, and without delay unless
/// \ref delay is set.
class FlowSite {
 public:
  static constexpr std::uint16_t kNodePort = 7000;
  static constexpr std::uint16_t kAgentPort = 8000;
  static constexpr std::uint16_t kUpstreamPort = 9000;
  /// Route of long-lived flows with idempotent requests.
  static constexpr SocketAddress kRoute{0xC6120001, 443};
  /// Route of short flows with non-idempotent requests.
  static constexpr SocketAddress kNonIdempotentRoute{0xC6120001, 80};

  struct Balancer;
  struct Agent;

  /// \brief Output of one process: queues its messages and records its resets
  /// and decisions.
  class Output : public FlowOutput {
   public:
    Output(FlowSite* site, SocketAddress self, Agent* agent)
        : m_site(site), m_self(self), m_agent(agent) {}
    void SendToNode(const SocketAddress& node,
                    const NodeMessage& original) override {
      NodeMessage message = original;
      if (auto* report = std::get_if<AgentStatus>(&message);
          report != nullptr && m_site->edit_report) {
        m_site->edit_report(report);
      }
      std::vector<std::uint8_t> bytes(2000);
      bytes.resize(EncodeNodeMessage(message, bytes));
      if (const auto* status = std::get_if<AgentStatus>(&message);
          status != nullptr && m_site->on_report) {
        m_site->on_report(m_self, node, *status);
      }
      const bool is_packet = std::holds_alternative<DeliverMessage>(message);
      m_site->delivered += is_packet ? 1 : 0;
      m_site->agents_queried +=
          std::holds_alternative<FlowQuery>(message) && node.port == kAgentPort
              ? 1
              : 0;
      m_site->queried += std::holds_alternative<FlowQuery>(message) ? 1 : 0;
      m_site->liveness_queries +=
          std::holds_alternative<LivenessQuery>(message) ? 1 : 0;
      if (!is_packet) {
        ++m_site->control_sent[m_self];
        ++m_site->control_received[node];
      }
      m_site->Send({m_self, node, std::move(bytes)});
    }
    void SendToUpstream(std::span<const std::uint8_t> packet) override;
    void SendToCaller(const SocketAddress& /*caller*/,
                      std::span<const std::uint8_t> packet) override {
      m_site->to_callers.push_back(*m_site->codec.Decode(packet));
    }
    void SendReset(const FlowTuple& tuple, std::uint32_t sequence) override {
      m_site->resets.push_back(tuple);
      m_site->reset_sequences.push_back(sequence);
      m_site->reset_senders.push_back(m_self);
    }
    void Measure(FlowMeasurement measurement, Duration time) override {
      ++m_site->measurements;
      m_site->measured[measurement].push_back(time);
    }
    void Report(const FlowDecision& decision) override {
      m_site->decisions.push_back(std::string(ToString(decision.kind)) + " " +
                                  decision.reason);
      if (m_site->on_decision) {
        m_site->on_decision(m_self, decision);
      }
    }

   private:
    FlowSite* m_site;
    SocketAddress m_self;
    Agent* m_agent;
  };

  struct Balancer {
    SocketAddress address;
    std::unique_ptr<Output> output;
    std::unique_ptr<FlowRouter> router;
    bool running = true;
  };

  struct Agent {
    SocketAddress address;
    std::string zone;
    UpstreamEntry entry;
    std::unique_ptr<Output> output;
    std::unique_ptr<FlowTracker> tracker;
    std::unique_ptr<FakeUpstream> upstream;
    bool running = true;
    /// The process stands still; messages to it wait.
    bool paused = false;
    bool listed = true;
  };

  /// Number of zones over which balancers and agents are distributed in turn.
  struct Zones {
    std::size_t balancers = 1;
    std::size_t agents = 2;
  };

  explicit FlowSite(std::size_t balancer_count,
                    std::size_t agent_count,
                    std::uint32_t slots = 3,
                    Zones zones = {1, 2})
      : m_zones(zones) {
    RouteSettings idempotent_route;
    idempotent_route.address = kRoute;
    idempotent_route.idempotent = true;
    idempotent_route.long_lived = true;
    idempotent_route.latency_objective = std::chrono::milliseconds(120);
    idempotent_route.timeout = std::chrono::milliseconds(800);
    idempotent_route.services = {{"counter", 1}};
    RouteSettings non_idempotent_route = idempotent_route;
    non_idempotent_route.address = kNonIdempotentRoute;
    non_idempotent_route.idempotent = false;
    non_idempotent_route.long_lived = false;
    view.configuration_version = 1;
    view.routes = {{kRoute, idempotent_route},
                   {kNonIdempotentRoute, non_idempotent_route}};
    view.services["counter"] = {};
    for (std::size_t i = 0; i < agent_count; ++i) {
      AddAgent(slots);
    }
    for (std::size_t i = 0; i < balancer_count; ++i) {
      AddBalancer();
    }
    Publish();
    Run(std::chrono::milliseconds(1500));
  }

  Balancer& AddBalancer() {
    auto balancer = std::make_unique<Balancer>();
    balancer->address = {
        0x0A010000U + static_cast<std::uint32_t>(balancers.size() + 1),
        kNodePort};
    balancer->output =
        std::make_unique<Output>(this, balancer->address, nullptr);
    balancers.push_back(std::move(balancer));
    StartBalancer(balancers.size() - 1);
    return *balancers.back();
  }

  /// Starts or restarts the process.
  void StartBalancer(std::size_t index) {
    Balancer& balancer = *balancers[index];
    FlowRouter::Settings settings;
    settings.incarnation = Incarnation{++m_incarnations};
    settings.zone = ZoneName(index % m_zones.balancers);
    settings.agent_port = kAgentPort;
    settings.search_bytes_per_second = search_bytes_per_second;
    balancer.router = std::make_unique<FlowRouter>(
        settings, codec, balancer.output.get(), clock.Now());
    balancer.running = true;
  }

  Agent& AddAgent(std::uint32_t slots = 3) {
    auto agent = std::make_unique<Agent>();
    const std::uint32_t ipv4 =
        0x0A020000U + static_cast<std::uint32_t>(agents.size() + 1);
    agent->address = {ipv4, kAgentPort};
    agent->zone = ZoneName(agents.size() % m_zones.agents);
    agent->entry.id = "i-" + std::to_string(agents.size());
    agent->entry.service = "counter";
    agent->entry.zone = agent->zone;
    agent->entry.address = {ipv4, kUpstreamPort};
    agent->entry.slots = slots;
    agent->entry.revision = Revision{++m_revision};
    agent->output = std::make_unique<Output>(this, agent->address, agent.get());
    agent->upstream = std::make_unique<FakeUpstream>(
        slots, static_cast<std::uint32_t>(agents.size()));
    agents.push_back(std::move(agent));
    StartAgent(agents.size() - 1, true);
    return *agents.back();
  }

  /// Starts or restarts the process; the first run of an agent begins together
  /// with its upstream.
  void StartAgent(std::size_t index, bool is_first_run = false) {
    Agent& agent = *agents[index];
    FlowTracker::Settings settings;
    settings.incarnation = Incarnation{++m_incarnations};
    settings.service = agent.entry.service;
    settings.zone = agent.zone;
    settings.is_first_run = is_first_run;
    settings.started = WallNow();
    settings.seeds = {{0x0A010001U, kNodePort}};
    agent.tracker = std::make_unique<FlowTracker>(
        settings, codec, agent.output.get(), clock.Now());
    agent.running = true;
  }

  /// Time of day of all instances.
  WallTime WallNow() const {
    return std::chrono::time_point_cast<WallTime::duration>(
        WallTime(std::chrono::hours(1000)) + clock.Now().time_since_epoch());
  }

  /// Installs the current view at all running balancers, as the store would.
  void Publish() {
    view.upstreams.clear();
    for (const auto& agent : agents) {
      if (agent->listed) {
        view.upstreams.emplace(agent->entry.address.ipv4, agent->entry);
      }
    }
    for (const auto& balancer : balancers) {
      if (balancer->running) {
        balancer->router->InstallView(std::make_shared<SiteView>(view),
                                      clock.Now());
      }
    }
    DeliverAll();
  }

  /// Marks an agent's entry as changed.
  void BumpRevision(Agent* agent) {
    agent->entry.revision = Revision{++m_revision};
    agent->entry.received_at = clock.Now();
  }

  void Run(Duration time) {
    constexpr std::chrono::milliseconds kStep{5};
    for (Duration passed{}; passed < time; passed += kStep) {
      clock.Advance(kStep);
      ++m_steps;
      for (const auto& agent : agents) {
        for (const FlowPacket& answer : agent->upstream->OnTick(clock.Now())) {
          m_from_upstreams.push_back({agent.get(), answer});
        }
      }
      DeliverAll();
      if (m_steps % 10 == 0) {
        for (const auto& agent : agents) {
          if (agent->running && !agent->paused) {
            agent->tracker->OnTick(clock.Now());
          }
        }
        DeliverAll();
        for (const auto& balancer : balancers) {
          if (balancer->running) {
            balancer->router->ConfirmView(clock.Now());
            balancer->router->OnTick(clock.Now());
          }
        }
        DeliverAll();
      }
    }
  }

  /// Delivers the packets that were held back for \ref delayed.
  void ReleaseUpstreamPackets() {
    m_from_upstreams.insert(m_from_upstreams.end(), m_delayed_packets.begin(),
                            m_delayed_packets.end());
    m_delayed_packets.clear();
    delayed = nullptr;
    DeliverAll();
  }

  /// Delivers all messages in flight whose delay has passed.
  void DeliverAll() {
    while (!m_datagrams_in_flight.empty() || !m_from_upstreams.empty()) {
      const auto wire = TakeArrived();
      bool delivered_any = false;
      for (const Datagram& datagram : wire) {
        if (IsPaused(datagram.to)) {
          m_datagrams_in_flight.push_back(datagram);
          continue;
        }
        delivered_any = true;
        if (!is_lost || !is_lost(datagram.from, datagram.to)) {
          Deliver(datagram);
        }
      }
      const auto packets = std::exchange(m_from_upstreams, {});
      if (!delivered_any && packets.empty()) {
        return;
      }
      for (const auto& [agent, packet] : packets) {
        if (agent == delayed) {
          m_delayed_packets.emplace_back(agent, packet);
        } else if (agent->running) {
          std::vector<std::uint8_t> bytes = PlainCodec::Encode(packet);
          agent->tracker->OnUpstreamPacket(bytes, clock.Now());
        }
      }
    }
  }

  static std::string ZoneName(std::size_t index) {
    return {static_cast<char>('a' + index)};
  }

  static FlowTuple Tuple(std::uint32_t caller, SocketAddress route = kRoute) {
    return {{0x64400000U + caller, 40000}, route};
  }

  void SendFromCaller(std::size_t balancer, const FlowPacket& packet) {
    ++caller_packets;
    balancers[balancer]->router->OnCallerPacket(PlainCodec::Encode(packet),
                                                clock.Now());
    DeliverAll();
  }

  static FlowPacket Packet(const FlowTuple& tuple) {
    FlowPacket packet;
    packet.source = tuple.caller;
    packet.destination = tuple.route;
    return packet;
  }

  void SendSyn(std::size_t balancer,
               const FlowTuple& tuple,
               std::uint32_t copy = 0) {
    FlowPacket packet = Packet(tuple);
    packet.syn = true;
    packet.acknowledgment = copy;
    packet.sequence = 100;
    SendFromCaller(balancer, packet);
  }

  /// Returns the sequence number of the last SYN+ACK to the caller of \p tuple,
  /// 0 if none.
  std::uint32_t SynAckSequence(const FlowTuple& tuple) const {
    std::uint32_t sequence = 0;
    for (const FlowPacket& packet : to_callers) {
      if (packet.syn && packet.destination == tuple.caller &&
          packet.source == tuple.route) {
        sequence = packet.sequence;
      }
    }
    return sequence;
  }

  /// Sends the caller's \p number-th request in a flow whose SYN has been
  /// answered.
  void SendRequest(std::size_t balancer,
                   const FlowTuple& tuple,
                   std::uint32_t number = 1) {
    FlowPacket packet = Packet(tuple);
    packet.ack = true;
    packet.sequence = 101 + (number - 1) * 10;
    packet.acknowledgment = SynAckSequence(tuple) + 1;
    packet.data_bytes = 10;
    SendFromCaller(balancer, packet);
  }

  /// Opens a flow and sends its first request.
  void Open(std::size_t balancer, const FlowTuple& tuple) {
    SendSyn(balancer, tuple);
    SendRequest(balancer, tuple);
  }

  /// Returns the agent whose upstream holds the flow; null if none does.
  Agent* OwnerOf(const FlowTuple& tuple) {
    for (const auto& agent : agents) {
      if (agent->upstream->flows.contains(tuple)) {
        return agent.get();
      }
    }
    return nullptr;
  }

  std::size_t AnswersTo(const FlowTuple& tuple) const {
    std::size_t count = 0;
    for (const FlowPacket& packet : to_callers) {
      count += packet.data_bytes > 0 && packet.destination == tuple.caller &&
                       packet.source == tuple.route
                   ? 1
                   : 0;
    }
    return count;
  }

  std::size_t ResetsOf(const FlowTuple& tuple) const {
    return static_cast<std::size_t>(
        std::count(resets.begin(), resets.end(), tuple));
  }

  std::size_t Decisions(const std::string& text) const {
    return static_cast<std::size_t>(
        std::count(decisions.begin(), decisions.end(), text));
  }

  ManualClock clock;
  PlainCodec codec;
  SiteView view;
  std::vector<std::unique_ptr<Balancer>> balancers;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<FlowPacket> to_callers;
  std::vector<FlowTuple> resets;
  std::vector<std::uint32_t> reset_sequences;
  std::vector<SocketAddress> reset_senders;
  std::vector<std::string> decisions;
  std::size_t measurements = 0;
  std::map<FlowMeasurement, std::vector<Duration>> measured;
  /// The agent whose upstream's packets are held back; null for none.
  const Agent* delayed = nullptr;
  /// Number of packets that callers sent.
  std::size_t caller_packets = 0;
  /// Number of callers' packets that balancers sent to agents.
  std::size_t delivered = 0;
  /// Number of queries of balancers, to agents and other balancers.
  std::size_t queried = 0;
  /// The queries among them that went to agents.
  std::size_t agents_queried = 0;
  /// Number of queries whether an agent still runs.
  std::size_t liveness_queries = 0;
  /// Number of other messages between processes, by sender and by receiver.
  std::map<SocketAddress, std::size_t> control_sent;
  std::map<SocketAddress, std::size_t> control_received;
  /// Search limit for balancers that are started after it is set.
  std::uint64_t search_bytes_per_second = 1'000'000;
  /// Called with each caller's packet that an agent passes to its upstream, if
  /// set, before the upstream handles it.
  std::function<void(const Agent& agent, const FlowPacket& packet)>
      on_upstream_packet;
  /// Called with each report that an agent sends, if set.
  std::function<void(const SocketAddress& from,
                     const SocketAddress& to,
                     const AgentStatus& status)>
      on_report;
  /// Changes each report before it is sent, if set.
  std::function<void(AgentStatus* status)> edit_report;
  /// Called with each decision of a process, if set.
  std::function<void(const SocketAddress& self, const FlowDecision& decision)>
      on_decision;
  /// Returns the delay of a datagram between two processes; null for none.
  /// Datagrams of one path stay in order, those of different paths need not.
  std::function<Duration(const SocketAddress& from, const SocketAddress& to)>
      delay;
  /// Returns whether a datagram between two processes is lost; null if none is.
  std::function<bool(const SocketAddress& from, const SocketAddress& to)>
      is_lost;

 private:
  struct Datagram {
    SocketAddress from;
    SocketAddress to;
    std::vector<std::uint8_t> bytes;
    /// The epoch if the datagram is not delayed.
    TimePoint arrives{};
  };

  void Send(Datagram datagram) {
    if (delay) {
      TimePoint& last = m_last_arrivals[{datagram.from, datagram.to}];
      last = std::max(last, clock.Now() + delay(datagram.from, datagram.to));
      datagram.arrives = last;
    }
    m_datagrams_in_flight.push_back(std::move(datagram));
  }

  /// Removes the datagrams that have arrived by now, in order of arrival.
  std::vector<Datagram> TakeArrived() {
    auto arrived = std::exchange(m_datagrams_in_flight, {});
    const auto first_delayed = std::stable_partition(
        arrived.begin(), arrived.end(), [&](const Datagram& datagram) {
          return datagram.arrives <= clock.Now();
        });
    m_datagrams_in_flight.assign(std::make_move_iterator(first_delayed),
                                 std::make_move_iterator(arrived.end()));
    arrived.erase(first_delayed, arrived.end());
    std::stable_sort(arrived.begin(), arrived.end(),
                     [](const Datagram& a, const Datagram& b) {
                       return a.arrives < b.arrives;
                     });
    return arrived;
  }

  bool IsPaused(const SocketAddress& address) const {
    return std::any_of(agents.begin(), agents.end(), [&](const auto& agent) {
      return agent->paused && agent->address == address;
    });
  }

  void Deliver(const Datagram& datagram) {
    const auto message = DecodeNodeMessage(datagram.bytes);
    if (!message) {
      return;
    }
    for (const auto& balancer : balancers) {
      if (balancer->address == datagram.to && balancer->running) {
        balancer->router->OnNodeMessage(datagram.from, *message, clock.Now());
      }
    }
    for (const auto& agent : agents) {
      if (agent->address == datagram.to && agent->running) {
        agent->tracker->OnNodeMessage(datagram.from, *message, clock.Now());
      }
    }
  }

  std::vector<Datagram> m_datagrams_in_flight;
  /// Arrival of the last datagram of each path.
  std::map<std::pair<SocketAddress, SocketAddress>, TimePoint> m_last_arrivals;
  std::vector<std::pair<Agent*, FlowPacket>> m_from_upstreams;
  std::vector<std::pair<Agent*, FlowPacket>> m_delayed_packets;
  Zones m_zones;
  std::uint64_t m_incarnations = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_steps = 0;
};

inline void FlowSite::Output::SendToUpstream(
    std::span<const std::uint8_t> packet) {
  const FlowPacket decoded = *m_site->codec.Decode(packet);
  if (m_site->on_upstream_packet) {
    m_site->on_upstream_packet(*m_agent, decoded);
  }
  for (const FlowPacket& answer :
       m_agent->upstream->OnPacket(decoded, m_site->clock.Now())) {
    m_site->m_from_upstreams.push_back({m_agent, answer});
  }
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBFLOW_FLOWSITE_H_
