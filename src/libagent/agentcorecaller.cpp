#include <algorithm>
#include <array>

#include "libagent/agentcore.h"
#include "libagent/feedeventbuffer.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

void AgentCore::OnDatagram(SocketAddress balancer,
                           std::span<const std::uint8_t> datagram) {
  Envelope envelope;
  CallerMessage message;
  if (DecodeEnvelope(datagram, &envelope) != WireError::kNone ||
      envelope.kind != EnvelopeKind::kForward ||
      DecodeCallerMessage(envelope.payload, &message) != WireError::kNone) {
    ++m_statistics.dropped_malformed;
    return;
  }
  if (!m_lease_held || !m_settings) {
    ++m_statistics.dropped_view_not_confirmed;
    return;
  }
  if (envelope.service != m_settings->service) {
    ++m_statistics.dropped_foreign;
    return;
  }
  if (const auto* open = std::get_if<OpenMessage>(&message)) {
    OnOpen(envelope, balancer, *open);
    return;
  }
  // While the zone is out, only ACKs are processed: they are needed to deliver
  // responses that have already arrived. Other messages could send traffic to
  // the upstream.
  if (m_zone_out_since && !std::holds_alternative<AckMessage>(message)) {
    ++m_statistics.dropped_zone_out;
    return;
  }
  Flow* flow = nullptr;
  if (const auto* request = std::get_if<RequestMessage>(&message)) {
    flow = FindFlow(envelope, balancer, request->flow, true);
    if (flow != nullptr) {
      OnRequest(flow, *request);
    }
  } else if (const auto* ack = std::get_if<AckMessage>(&message)) {
    flow = FindFlow(envelope, balancer, ack->flow, true);
    if (flow != nullptr) {
      OnAck(flow, *ack);
    }
  } else if (const auto* cancel = std::get_if<CancelMessage>(&message)) {
    flow = FindFlow(envelope, balancer, cancel->flow, true);
    if (flow != nullptr) {
      OnCancel(flow, cancel->sequence);
    }
  } else if (const auto* ping = std::get_if<PingMessage>(&message)) {
    flow = FindFlow(envelope, balancer, ping->flow, true);
    if (flow != nullptr) {
      Send(*flow, PongMessage{flow->token});
    }
  } else if (const auto* close = std::get_if<CloseMessage>(&message)) {
    flow = FindFlow(envelope, balancer, close->flow, false);
    if (flow != nullptr) {
      CloseFlow(flow);
    }
    return;
  } else {
    ++m_statistics.dropped_malformed;
  }
  if (flow != nullptr) {
    Reschedule(flow);
  }
}

void AgentCore::OnOpen(const Envelope& envelope,
                       SocketAddress balancer,
                       const OpenMessage& open) {
  if (m_zone_out_since) {
    ++m_statistics.dropped_zone_out;
    Bounce(envelope, balancer);
    return;
  }
  if (Flow* known = m_flows.FindNonce(open.nonce)) {
    known->balancer = balancer;
    known->caller = envelope.caller;
    Send(*known, AcceptedMessage{open.nonce, known->token});
    return;
  }
  if (m_drain.is_draining() || !m_is_configured || m_control.is_failing() ||
      m_admission.AdmitFlow(m_flows.size(), m_now) !=
          AdmissionControl::FlowAdmission::kAdmitted) {
    Bounce(envelope, balancer);
    return;
  }
  Flow* flow = m_flows.Open(open.nonce, m_now);
  flow->token = m_codec.Encode({.zone = m_settings->zone,
                                .service = m_settings->service,
                                .target = m_target,
                                .agent = m_settings->agent,
                                .generation = flow->handle.generation,
                                .incarnation = m_incarnation,
                                .index = flow->handle.index});
  flow->caller = envelope.caller;
  flow->balancer = balancer;
  flow->opened = m_now;
  flow->last_packet = m_now;
  ++m_statistics.accepted_flows;
  Reschedule(flow);
  Send(*flow, AcceptedMessage{open.nonce, flow->token});
}

void AgentCore::Bounce(const Envelope& envelope, SocketAddress balancer) {
  ++m_statistics.bounced_flows;
  Envelope bounce = envelope;
  bounce.kind = EnvelopeKind::kBounce;
  SendEnvelope(balancer, &bounce);
}

Flow* AgentCore::FindFlow(const Envelope& envelope,
                          SocketAddress balancer,
                          const FlowToken& token,
                          bool answer_reset) {
  const std::optional<FlowId> id = m_codec.Decode(token);
  if (!id) {
    ++m_statistics.dropped_malformed;
    return nullptr;
  }
  if (id->target != m_target || id->service != m_settings->service) {
    ++m_statistics.dropped_foreign;
    return nullptr;
  }
  Flow* flow = id->incarnation == m_incarnation
                   ? m_flows.Find({id->index, id->generation})
                   : nullptr;
  if (flow != nullptr) {
    flow->confirmed = true;
    flow->last_packet = m_now;
    flow->balancer = balancer;
    flow->caller = envelope.caller;
  } else if (answer_reset) {
    ++m_statistics.resets_sent;
    SendTo(balancer, envelope.caller, ResetMessage{token});
  }
  return flow;
}

void AgentCore::OnRequest(Flow* flow, const RequestMessage& message) {
  if (flow->ledger.Find(message.sequence) ==
          RequestLedger::Entry::kBeyondWindow &&
      !flow->ledger.AdvanceTo(message.sequence)) {
    ++m_statistics.dropped_beyond_window;
    return;
  }
  if (flow->ledger.Find(message.sequence) == RequestLedger::Entry::kNew) {
    AdmitRequest(flow, message);
    return;
  }
  ++m_statistics.duplicate_requests;
  AnswerFromLedger(flow, message.sequence);
}

void AgentCore::AnswerFromLedger(Flow* flow, std::uint32_t sequence) {
  switch (flow->ledger.Find(sequence)) {
    case RequestLedger::Entry::kRefused:
      Send(*flow, RefusedMessage{flow->token, sequence,
                                 flow->ledger.RefusalOf(sequence)});
      break;
    case RequestLedger::Entry::kUnknown:
      Send(*flow, OutcomeUnknownMessage{flow->token, sequence});
      break;
    default:
      break;
  }
}

void AgentCore::AdmitRequest(Flow* flow, const RequestMessage& message) {
  if (const auto reason = ReasonToRefuse(*flow, message)) {
    ++m_statistics.refused_requests;
    flow->ledger.MarkRefused(message.sequence, *reason);
    Send(*flow, RefusedMessage{flow->token, message.sequence, *reason});
    return;
  }
  flow->ledger.MarkActive(message.sequence);
  auto request = std::make_unique<ActiveRequest>();
  request->sequence = message.sequence;
  request->kind = message.kind;
  request->non_idempotent =
      message.non_idempotent ||
      (m_non_idempotent_kinds >> static_cast<unsigned>(message.kind) & 1U) != 0;
  request->body.assign(message.body.begin(), message.body.end());
  ActiveRequest* taken = request.get();
  flow->requests.push_back(std::move(request));
  if (message.kind == RequestKind::kFeed) {
    taken->response = std::make_unique<FeedEventBuffer>(message.resume_after);
    taken->window.Restart(message.resume_after + 1);
    Assign(flow, taken);
    return;
  }
  taken->deadline = m_now + std::min(message.budget, kMaxRequestBudget);
  taken->state = State::kQueued;
  m_queue.PushBack({flow->handle, taken->sequence});
}

std::optional<RefusalReason> AgentCore::ReasonToRefuse(
    const Flow& flow,
    const RequestMessage& message) {
  if (m_drain.is_draining() || !m_is_configured) {
    return RefusalReason::kDraining;
  }
  if (IsOutage()) {
    return RefusalReason::kUpstreamUnavailable;
  }
  if (flow.requests.size() >= kMaxActiveRequests) {
    return RefusalReason::kOverloaded;
  }
  if (message.kind == RequestKind::kFeed) {
    return std::nullopt;
  }
  if (message.budget.count() <= 0) {
    return RefusalReason::kDeadline;
  }
  if (m_queue.size() >= m_admission.queue_limit()) {
    return m_admission.is_cold() ? RefusalReason::kCold
                                 : RefusalReason::kOverloaded;
  }
  return std::nullopt;
}

void AgentCore::OnAck(Flow* flow, const AckMessage& ack) {
  ActiveRequest* request = flow->FindSequence(ack.sequence);
  const bool feed = request != nullptr && request->kind == RequestKind::kFeed;
  if (request == nullptr || !request->response ||
      (!feed && ack.attempt != request->attempt)) {
    return;
  }
  m_part_indices.clear();
  request->window.OnAck(ack.next_part, ack.missing, m_now, &m_part_indices);
  const std::uint32_t acknowledged = request->window.acknowledged();
  request->response->Release(acknowledged);
  if (request->response->IsFullyAcknowledged(acknowledged)) {
    Finish(flow, request);
    return;
  }
  SendParts(*flow, *request, m_part_indices);
  SendNewParts(flow, request);
  if (feed && request->state == State::kBackoff &&
      request->due == TimePoint::max() &&
      static_cast<const FeedEventBuffer&>(*request->response).empty()) {
    Assign(flow, request);
  }
}

void AgentCore::OnCancel(Flow* flow, std::uint32_t sequence) {
  ActiveRequest* request = flow->FindSequence(sequence);
  if (request == nullptr) {
    if (flow->ledger.Find(sequence) == RequestLedger::Entry::kNew) {
      ++m_statistics.cancelled_requests;
      ++m_statistics.refused_requests;
      flow->ledger.MarkRefused(sequence, RefusalReason::kCancelled);
    }
    AnswerFromLedger(flow, sequence);
    return;
  }
  if (request->abandoned) {
    return;
  }
  ++m_statistics.cancelled_requests;
  if (request->kind == RequestKind::kFeed) {
    if (request->state == State::kRunning) {
      SendToUpstream(flow->connection->id, UpstreamCancel{request->number});
    }
    Finish(flow, request);
    return;
  }
  switch (request->state) {
    case State::kQueued:
    case State::kBackoff:
    case State::kAssigned:
      Abandon(flow, request, RefusalReason::kCancelled);
      break;
    case State::kRunning:
      CancelRunning(flow, request, RefusalReason::kCancelled);
      break;
    case State::kCancelling:
    case State::kQueryingOutcome:
      request->abandoned = true;
      request->abandon_reason = RefusalReason::kCancelled;
      break;
    case State::kAwaitingAck:
      Finish(flow, request);
      break;
  }
}

void AgentCore::SendTo(SocketAddress balancer,
                       SocketAddress caller,
                       const CallerMessage& message) {
  std::array<std::uint8_t, kMaxDatagramBytes> payload;
  const std::size_t size = EncodeCallerMessage(message, payload);
  Envelope envelope;
  envelope.kind = EnvelopeKind::kReturn;
  envelope.caller = caller;
  envelope.service = m_settings->service;
  envelope.payload = std::span(payload).first(size);
  SendEnvelope(balancer, &envelope);
}

void AgentCore::SendEnvelope(SocketAddress balancer, Envelope* envelope) {
  envelope->status = AgentStatus{.target = m_target,
                                 .state = ComputeState(),
                                 .open_flows = m_flows.size(),
                                 .revision = m_revision};
  std::array<std::uint8_t, kMaxDatagramBytes + kMaxEnvelopeOverheadBytes> out;
  const std::size_t size = EncodeEnvelope(*envelope, out);
  m_actions->emplace_back(
      SendDatagram{balancer, {out.begin(), out.begin() + size}});
}

void AgentCore::SendNewParts(Flow* flow, ActiveRequest* request) {
  if (!m_lease_held || !request->response) {
    return;
  }
  m_part_indices.clear();
  request->window.TakeNew(request->response->end(), m_now, &m_part_indices);
  SendParts(*flow, *request, m_part_indices);
}

void AgentCore::SendParts(const Flow& flow,
                          const ActiveRequest& request,
                          const std::vector<std::uint32_t>& indices) {
  const bool feed = request.kind == RequestKind::kFeed;
  for (const std::uint32_t index : indices) {
    Send(flow, PartMessage{.flow = flow.token,
                           .sequence = request.sequence,
                           // Event numbers stay the same across attempts, so
                           // parts of a feed carry no attempt number.
                           .attempt = feed ? std::uint8_t{0} : request.attempt,
                           .index = index,
                           .count = request.response->CountAt(index),
                           .body = request.response->Body(index)});
  }
}

void AgentCore::Refuse(Flow* flow,
                       ActiveRequest* request,
                       RefusalReason reason) {
  const std::uint32_t sequence = request->sequence;
  ++m_statistics.refused_requests;
  flow->ledger.MarkRefused(sequence, reason);
  Remove(flow, request);
  Send(*flow, RefusedMessage{flow->token, sequence, reason});
}

void AgentCore::ReportUnknown(Flow* flow, ActiveRequest* request) {
  const std::uint32_t sequence = request->sequence;
  ++m_statistics.unknown_outcomes;
  flow->ledger.MarkUnknown(sequence);
  Remove(flow, request);
  Send(*flow, OutcomeUnknownMessage{flow->token, sequence});
}

void AgentCore::Abandon(Flow* flow,
                        ActiveRequest* request,
                        RefusalReason reason) {
  if (request->may_have_run) {
    ReportUnknown(flow, request);
  } else {
    Refuse(flow, request, reason);
  }
}

void AgentCore::Finish(Flow* flow, ActiveRequest* request) {
  flow->ledger.MarkFinished(request->sequence);
  Remove(flow, request);
}

void AgentCore::Remove(Flow* flow, ActiveRequest* request) {
  ReleaseSlot(request);
  if (request->state == State::kQueued) {
    m_queue.Remove({flow->handle, request->sequence});
  }
  m_outcome_queries.erase(request->number);
  const auto position = std::find_if(
      flow->requests.begin(), flow->requests.end(),
      [request](const auto& other) { return other.get() == request; });
  *position = std::move(flow->requests.back());
  flow->requests.pop_back();
}

void AgentCore::AbandonUnsent(RefusalReason reason) {
  m_flows.ForEach([this, reason](Flow* flow) {
    for (std::size_t i = flow->requests.size(); i-- > 0;) {
      ActiveRequest* request = flow->requests[i].get();
      const bool resuming =
          request->kind == RequestKind::kFeed && request->may_have_run;
      if (!resuming && (request->state == State::kQueued ||
                        request->state == State::kBackoff ||
                        request->state == State::kAssigned)) {
        Abandon(flow, request, reason);
      }
    }
  });
}

void AgentCore::CloseFlow(Flow* flow) {
  for (const auto& request : flow->requests) {
    if (request->state == State::kQueued) {
      m_queue.Remove({flow->handle, request->sequence});
    }
    m_outcome_queries.erase(request->number);
    const bool at_upstream = request->state == State::kRunning ||
                             request->state == State::kCancelling ||
                             request->state == State::kQueryingOutcome;
    if (at_upstream) {
      CancelOrphan(request.get());
    }
    ReleaseSlot(request.get());
  }
  CloseConnectionOf(flow);
  m_timers.Remove(flow->handle.index);
  m_flows.Close(flow);
}

}  // namespace fireflytrestle
