#include "librouting/packetrouter.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libbase/seededrandom.h"
#include "librouting/routingview.h"
#include "librouting/targetselector.h"
#include "librouting/targettable.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

namespace {

RefusalReason RefusalReasonFor(TargetState state) {
  switch (state) {
    case TargetState::kCold:
      return RefusalReason::kCold;
    case TargetState::kDraining:
      return RefusalReason::kDraining;
    case TargetState::kOut:
      return RefusalReason::kZoneOut;
    case TargetState::kUnavailable:
      return RefusalReason::kUpstreamUnavailable;
    case TargetState::kWarm:
    case TargetState::kFull:
      break;
  }
  return RefusalReason::kOverloaded;
}

/// Returns the flow token of a message that callers send within an established
/// flow, or null for any other message.
const FlowToken* FlowTokenOf(const CallerMessage& message) {
  if (const auto* request = std::get_if<RequestMessage>(&message)) {
    return &request->flow;
  }
  if (const auto* ack = std::get_if<AckMessage>(&message)) {
    return &ack->flow;
  }
  if (const auto* ping = std::get_if<PingMessage>(&message)) {
    return &ping->flow;
  }
  if (const auto* cancel = std::get_if<CancelMessage>(&message)) {
    return &cancel->flow;
  }
  if (const auto* close = std::get_if<CloseMessage>(&message)) {
    return &close->flow;
  }
  return nullptr;
}

bool IsAccepted(std::span<const std::uint8_t> payload) {
  CallerMessage message;
  return DecodeCallerMessage(payload, &message) == WireError::kNone &&
         std::holds_alternative<AcceptedMessage>(message);
}

}  // namespace

class PacketRouter::Private {
 public:
  Private(FlowIdCodec codec, std::uint64_t seed, TimePoint now)
      : m_codec(std::move(codec)), m_random(seed), m_lease_until(now) {}

  void InstallView(std::shared_ptr<const RoutingView> view, TimePoint now) {
    // Ignore views of an older configuration. A view of the same revision is
    // installed, because the instance list changes without a new revision.
    if (m_view && view->revision < m_view->revision) {
      return;
    }
    m_view = std::move(view);
    m_targets.Install(*m_view, now);
  }

  void SetLease(TimePoint until) { m_lease_until = until; }

  RouteDecision OnFabricDatagram(std::span<const std::uint8_t> datagram,
                                 TimePoint now) {
    if (!HasValidView(now)) {
      return Drop(DropReason::kViewNotConfirmed);
    }
    Envelope envelope;
    if (DecodeEnvelope(datagram, &envelope) != WireError::kNone) {
      return Drop(DropReason::kMalformed);
    }
    if (envelope.kind != EnvelopeKind::kCaller) {
      return Drop(DropReason::kUnexpectedKind);
    }
    CallerMessage message;
    if (DecodeCallerMessage(envelope.payload, &message) != WireError::kNone) {
      return Drop(DropReason::kMalformed);
    }
    envelope.status.reset();
    envelope.attempts = 0;
    if (const auto* open = std::get_if<OpenMessage>(&message)) {
      return RouteOpen(envelope, *open, now);
    }
    const FlowToken* token = FlowTokenOf(message);
    if (token == nullptr) {
      return Drop(DropReason::kUnexpectedKind);
    }
    return RouteEstablished(envelope, *token,
                            std::holds_alternative<PingMessage>(message), now);
  }

  RouteDecision OnAgentDatagram(std::span<const std::uint8_t> datagram,
                                TimePoint now) {
    if (!HasValidView(now)) {
      return Drop(DropReason::kViewNotConfirmed);
    }
    Envelope envelope;
    if (DecodeEnvelope(datagram, &envelope) != WireError::kNone) {
      return Drop(DropReason::kMalformed);
    }
    if (envelope.kind == EnvelopeKind::kReturn) {
      return RouteReturn(envelope, now);
    }
    if (envelope.kind == EnvelopeKind::kBounce) {
      return RouteBounce(envelope, now);
    }
    return Drop(DropReason::kUnexpectedKind);
  }

  const std::array<std::uint64_t, kDropReasonCount>& drops() const {
    return m_drops;
  }
  const RouterStatistics& statistics() const { return m_statistics; }

  RouterSnapshot Snapshot(TimePoint now) const {
    RouterSnapshot snapshot;
    for (const auto& [id, service] : m_targets.services()) {
      snapshot.services.push_back(
          {id, static_cast<std::uint32_t>(service.records.size()),
           service.retry_budget.available()});
      for (const TargetRecord* record : service.records) {
        snapshot.targets.push_back(
            {record->settings().id, id, record->settings().zone,
             record->state(), record->EligibilityAt(now),
             record->health().IsSuspect(now), record->load().IsFresh(now),
             record->load().open_flows(), record->load().opens_under_way(now)});
      }
    }
    std::ranges::sort(snapshot.targets, {}, &TargetSnapshot::target);
    std::ranges::sort(snapshot.services, {}, &ServiceSnapshot::service);
    return snapshot;
  }

 private:
  bool HasValidView(TimePoint now) const {
    return m_view && now < m_lease_until;
  }

  RouteDecision Drop(DropReason reason) {
    ++m_drops[static_cast<std::size_t>(reason)];
    RouteDecision decision;
    decision.reason = reason;
    return decision;
  }

  RouteDecision RouteEstablished(const Envelope& envelope,
                                 const FlowToken& token,
                                 bool ping,
                                 TimePoint now) {
    const std::optional<FlowId> flow = m_codec.Decode(token);
    if (!flow) {
      return Drop(DropReason::kInvalidFlowToken);
    }
    if (flow->service != envelope.service) {
      return Drop(DropReason::kWrongService);
    }
    if (m_view->zones_out.contains(flow->zone)) {
      return Drop(DropReason::kZoneOut);
    }
    if (ping) {
      // The token may carry a previous address of the target. A missing answer
      // from that address must not count against the current one.
      TargetRecord* target = m_targets.FindTarget(flow->target);
      if (target != nullptr && target->settings().agent == flow->agent) {
        target->OnPingSent(now);
      }
    }
    ++m_statistics.forwarded;
    return Forward(envelope, flow->agent);
  }

  RouteDecision RouteOpen(const Envelope& envelope,
                          const OpenMessage& open,
                          TimePoint now) {
    ServiceTargets* service = m_targets.FindService(envelope.service);
    if (service == nullptr) {
      return Drop(DropReason::kUnknownService);
    }
    service->retry_budget.OnFirstAttempt();
    const Selection selection = SelectTarget(*service, open.nonce, {}, now);
    if (selection.target == nullptr) {
      return RefuseOpen(envelope, open, RefusalReason::kNoTarget);
    }
    ++m_statistics.opens_forwarded;
    return ForwardOpen(envelope, selection, now);
  }

  RouteDecision RouteReturn(Envelope& envelope, TimePoint now) {
    if (envelope.status) {
      if (TargetRecord* target =
              m_targets.FindTarget(envelope.status->target)) {
        if (IsAccepted(envelope.payload)) {
          target->OnOpenAnswered();
        }
        target->OnReturn(*envelope.status, now, Jitter());
      }
    }
    ++m_statistics.returned;
    return Return(envelope);
  }

  RouteDecision RouteBounce(const Envelope& envelope, TimePoint now) {
    CallerMessage message;
    // The list of tried targets bounds the number of attempts. Without it a
    // bounced OPEN could be retried forever.
    if (!envelope.status || envelope.attempts == 0 ||
        DecodeCallerMessage(envelope.payload, &message) != WireError::kNone) {
      return Drop(DropReason::kMalformed);
    }
    const auto* open = std::get_if<OpenMessage>(&message);
    if (open == nullptr) {
      return Drop(DropReason::kUnexpectedKind);
    }
    ++m_statistics.bounced;
    if (TargetRecord* target = m_targets.FindTarget(envelope.status->target)) {
      target->OnBounce(*envelope.status, now, Jitter());
    }
    ServiceTargets* service = m_targets.FindService(envelope.service);
    if (service == nullptr) {
      return Drop(DropReason::kUnknownService);
    }
    const std::span<const TargetId> tried(envelope.tried.data(),
                                          envelope.attempts);
    if (std::ranges::find(tried, envelope.status->target) == tried.end()) {
      return Drop(DropReason::kProbeBounced);
    }
    const Selection selection =
        tried.size() < kMaxOpenAttempts
            ? SelectTarget(*service, open->nonce, tried, now)
            : Selection{};
    if (selection.target == nullptr) {
      return RefuseOpen(envelope, *open,
                        RefusalReasonFor(envelope.status->state));
    }
    if (!service->retry_budget.TryRetry(now)) {
      ++m_statistics.retry_budget_exhausted;
      return RefuseOpen(envelope, *open, RefusalReason::kRetryBudget);
    }
    ++m_statistics.opens_retried;
    return ForwardOpen(envelope, selection, now);
  }

  static RouteDecision Forward(const Envelope& envelope,
                               const SocketAddress& agent) {
    RouteDecision decision;
    decision.action = RouteDecision::Action::kForward;
    decision.agent = agent;
    decision.envelope = envelope;
    decision.envelope.kind = EnvelopeKind::kForward;
    return decision;
  }

  RouteDecision ForwardOpen(const Envelope& envelope,
                            const Selection& selection,
                            TimePoint now) {
    TargetRecord* target = selection.target;
    target->OnOpenSent(now, Jitter());
    RouteDecision decision = Forward(envelope, target->settings().agent);
    decision.envelope.status.reset();
    decision.envelope.tried[decision.envelope.attempts] = target->settings().id;
    ++decision.envelope.attempts;
    // The probed target is not added to the tried targets. RouteBounce()
    // recognizes the BOUNCE of a probe by its absence from that list.
    if (selection.probe != nullptr) {
      selection.probe->OnOpenSent(now, Jitter());
      decision.probe = selection.probe->settings().agent;
      ++m_statistics.probes;
    }
    return decision;
  }

  static RouteDecision Return(const Envelope& envelope) {
    RouteDecision decision;
    decision.action = RouteDecision::Action::kReturn;
    decision.envelope = envelope;
    decision.envelope.kind = EnvelopeKind::kCaller;
    decision.envelope.status.reset();
    decision.envelope.attempts = 0;
    return decision;
  }

  RouteDecision RefuseOpen(const Envelope& envelope,
                           const OpenMessage& open,
                           RefusalReason reason) {
    ++m_statistics.opens_refused;
    const std::size_t size =
        EncodeCallerMessage(OpenRefusedMessage{open.nonce, reason}, m_refusal);
    RouteDecision decision = Return(envelope);
    decision.envelope.payload = std::span(m_refusal).first(size);
    return decision;
  }

  double Jitter() {
    constexpr std::uint64_t kSteps = 1024;
    return static_cast<double>(m_random.Below(kSteps)) / kSteps;
  }

  static constexpr std::size_t kMaxRefusalBytes = 32;

  FlowIdCodec m_codec;
  SeededRandom m_random;
  TimePoint m_lease_until;
  std::shared_ptr<const RoutingView> m_view;
  TargetTable m_targets;
  std::array<std::uint64_t, kDropReasonCount> m_drops{};
  RouterStatistics m_statistics;
  std::array<std::uint8_t, kMaxRefusalBytes> m_refusal{};
};

PacketRouter::PacketRouter(FlowIdCodec codec, std::uint64_t seed, TimePoint now)
    : m_private(std::make_unique<Private>(std::move(codec), seed, now)) {}

PacketRouter::~PacketRouter() = default;

void PacketRouter::InstallView(std::shared_ptr<const RoutingView> view,
                               TimePoint now) {
  m_private->InstallView(std::move(view), now);
}

void PacketRouter::SetLease(TimePoint until) {
  m_private->SetLease(until);
}

RouteDecision PacketRouter::OnFabricDatagram(
    std::span<const std::uint8_t> datagram,
    TimePoint now) {
  return m_private->OnFabricDatagram(datagram, now);
}

RouteDecision PacketRouter::OnAgentDatagram(
    std::span<const std::uint8_t> datagram,
    TimePoint now) {
  return m_private->OnAgentDatagram(datagram, now);
}

const std::array<std::uint64_t, kDropReasonCount>& PacketRouter::drops() const {
  return m_private->drops();
}

const RouterStatistics& PacketRouter::statistics() const {
  return m_private->statistics();
}

RouterSnapshot PacketRouter::Snapshot(TimePoint now) const {
  return m_private->Snapshot(now);
}

}  // namespace fireflytrestle
