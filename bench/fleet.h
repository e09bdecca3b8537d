#ifndef FIREFLYTRESTLE_BENCH_FLEET_H_
#define FIREFLYTRESTLE_BENCH_FLEET_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "librouting/packetrouter.h"
#include "librouting/routingview.h"
#include "routingsite.h"

namespace fireflytrestle {

inline constexpr ServiceId kService{1};

/// \brief The state of a simulated agent.
struct FakeAgent {
  /// The agent answers no packet.
  bool silent = false;
  /// The agent refuses OPENs with the state \c refusal.
  bool refuses = false;
  TargetState refusal = TargetState::kFull;
  std::uint32_t open_flows = 0;
  std::uint64_t opens_received = 0;
};

/// \brief The result of sending one packet through a router.
struct Outcome {
  /// The last target to which the router forwarded the packet.
  std::optional<TargetId> reached;
  /// The token of the flow, if an OPEN was accepted.
  std::optional<FlowToken> flow;
  /// The router returned a refusal to the caller.
  bool refused = false;
  /// The number of targets to which the packet was forwarded.
  int attempts = 0;
  /// The router forwarded an OPEN to the same target more than once.
  bool repeated = false;
};

/// \brief Routers that hold leases, and simulated agents that answer them, on a
/// manual clock.
struct Fleet {
  std::unique_ptr<PacketRouter> MakeRouter(const Configuration& view) {
    auto router =
        std::make_unique<PacketRouter>(MakeCodec(), random.Next(), clock.Now());
    router->SetLease(clock.Now() + std::chrono::hours(24));
    router->InstallView(MakeRoutingView(view, {}), clock.Now());
    return router;
  }

  /// Routes \p message from the fabric until an agent accepts it, an agent does
  /// not answer, or the router stops forwarding it.
  Outcome Send(PacketRouter& router, const CallerMessage& message) {
    const Bytes packet = FabricPacket(kService, message);
    RouteDecision decision = router.OnFabricDatagram(packet, clock.Now());
    const bool open = std::holds_alternative<OpenMessage>(message);
    Bytes reply;
    for (Outcome outcome;;) {
      outcome.refused = decision.action == RouteDecision::Action::kReturn;
      if (decision.action != RouteDecision::Action::kForward) {
        return outcome;
      }
      const TargetId id{decision.agent.ipv4 - 0x7F000000U};
      if (decision.probe) {
        DeliverProbe(router, decision, message);
      }
      FakeAgent& agent = agents[id];
      outcome.reached = id;
      ++outcome.attempts;
      const auto& tried = decision.envelope.tried;
      outcome.repeated |=
          open && std::count(tried.begin(), tried.end(), id) > 1;
      agent.opens_received += open ? 1 : 0;
      if (agent.silent) {
        return outcome;
      }
      if (!open) {
        QueueLoadReport(router, id);
        return outcome;
      }
      Envelope envelope = decision.envelope;
      envelope.status =
          AgentStatus{id, TargetState::kWarm, agent.open_flows, Revision{1}};
      if (!agent.refuses) {
        envelope.kind = EnvelopeKind::kReturn;
        envelope.status->open_flows = ++agent.open_flows;
        outcome.flow =
            MakeToken(MakeTarget(static_cast<std::uint32_t>(id), kService),
                      agent.open_flows);
        const AcceptedMessage accepted{std::get<OpenMessage>(message).nonce,
                                       *outcome.flow};
        replies.push_back({clock.Now() + reply_delay, &router,
                           EncodePacket(envelope, accepted)});
        Advance({});
        return outcome;
      }
      envelope.kind = EnvelopeKind::kBounce;
      envelope.status->state = agent.refusal;
      reply = EncodePacket(envelope);
      decision = router.OnAgentDatagram(reply, clock.Now());
    }
  }

  Outcome Open(PacketRouter& router) {
    return Send(router, OpenMessage{MakeNonce(random)});
  }

  /// Queues the agent's answer to a packet of an established flow. The answer
  /// passes through \p router and reports the load of the agent.
  void QueueLoadReport(PacketRouter& router, TargetId id) {
    Envelope envelope;
    envelope.kind = EnvelopeKind::kReturn;
    envelope.service = kService;
    envelope.status =
        AgentStatus{id, TargetState::kWarm, agents[id].open_flows, Revision{1}};
    replies.push_back({clock.Now() + reply_delay, &router,
                       EncodePacket(envelope, PongMessage{})});
    Advance({});
  }

  /// Delivers the copy of an OPEN that \p router sends as a probe to a target
  /// that has not been answering.
  void DeliverProbe(PacketRouter& router,
                    const RouteDecision& decision,
                    const CallerMessage& message) {
    const TargetId id{decision.probe->ipv4 - 0x7F000000U};
    FakeAgent& agent = agents[id];
    ++agent.opens_received;
    if (agent.silent) {
      return;
    }
    Envelope envelope = decision.envelope;
    envelope.kind =
        agent.refuses ? EnvelopeKind::kBounce : EnvelopeKind::kReturn;
    agent.open_flows += agent.refuses ? 0 : 1;
    envelope.status =
        AgentStatus{id, agent.refuses ? agent.refusal : TargetState::kWarm,
                    agent.open_flows, Revision{1}};
    const AcceptedMessage accepted{std::get<OpenMessage>(message).nonce, {}};
    const Bytes reply = agent.refuses ? EncodePacket(envelope)
                                      : EncodePacket(envelope, accepted);
    probe_dropped |= router.OnAgentDatagram(reply, clock.Now()).action ==
                     RouteDecision::Action::kDrop;
  }

  /// Returns the id of the target with a zero-based \p index.
  static TargetId TargetIdAt(std::size_t index) {
    return TargetId{static_cast<std::uint32_t>(index + 1)};
  }

  /// Advances the clock and delivers the replies that are due.
  void Advance(Duration step) {
    clock.Advance(step);
    for (; !replies.empty() && replies.front().due <= clock.Now();
         replies.pop_front()) {
      replies.front().router->OnAgentDatagram(replies.front().bytes,
                                              clock.Now());
    }
  }

  struct PendingReply {
    TimePoint due;
    PacketRouter* router;
    Bytes bytes;
  };

  ManualClock clock;
  SeededRandom random{20261204};
  std::map<TargetId, FakeAgent> agents;
  /// The time from a packet to the arrival of its reply at the router.
  Duration reply_delay{0};
  /// True once a router has dropped the answer to a probe.
  bool probe_dropped = false;
  std::deque<PendingReply> replies;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BENCH_FLEET_H_
