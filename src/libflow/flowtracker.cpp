#include "libflow/flowtracker.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "libflow/agentfailuredetector.h"
#include "libflow/flowoutput.h"
#include "libflow/flowpacket.h"
#include "libflow/handoversender.h"
#include "libflow/nodemessagecodec.h"
#include "libflow/packetcodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;
using Kind = FlowDecision::Kind;
using State = UpstreamFlow::State;

constexpr milliseconds kSweepInterval{1000};
/// Number of new flows after which a status is sent early, so that the
/// balancers see the changed load.
constexpr std::uint32_t kMaxFlowsBeforeStatus = 4;
/// A flow that is not open is removed after this long without a packet, which
/// leaves time for the last packets of one that is closing.
constexpr milliseconds kClosingTimeout{3000};
/// A short flow whose caller has sent no packet for this long since its SYN no
/// longer counts as a coming request: it is not going to be used.
constexpr milliseconds kFirstRequestTimeout{200};
/// A request without an answer for this long is assumed to occupy no slot of
/// the upstream any more.
constexpr milliseconds kMaxRequestTime{2000};

/// An upstream hands a packet of a flow that it does not hold back at once; one
/// that holds it answers the request within about this time.
constexpr milliseconds kProbeAnswerTime{100};
/// Callers send copies of a SYN this long after the first one.
constexpr std::array kSynCopyTimes = {milliseconds(0), milliseconds(200),
                                      milliseconds(600)};

/// Whether sequence number \p a is after \p b, with wraparound.
bool IsAfter(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

/// Whether the upstream has not confirmed that it holds the flow.
bool IsUnproven(const UpstreamFlow& flow) {
  return flow.state == State::kUnconfirmed || flow.state == State::kRestored;
}

/// Whether no two packets of one flow have these acknowledgment numbers within
/// its retransmissions: an upstream has at most 16 packets of 1,200 bytes in
/// flight, and the numbers of two flows differ by more almost always.
bool IsFarFrom(std::uint32_t a, std::uint32_t b) {
  constexpr std::uint32_t kMaxDistance = 1U << 18U;
  return std::min(a - b, b - a) > kMaxDistance;
}

}  // namespace

FlowTracker::FlowTracker(Settings settings,
                         const PacketCodec& codec,
                         FlowOutput* output,
                         TimePoint now)
    : m_settings(std::move(settings)),
      m_codec(codec),
      m_output(output),
      m_knowledge(m_settings.is_first_run,
                  m_settings.flow_lifetime,
                  m_settings.started,
                  now),
      m_reporter(m_settings.seeds, output, now),
      m_cold_start(now),
      m_next_sweep(now + kSweepInterval) {}

void FlowTracker::OnNodeMessage(const SocketAddress& source,
                                const NodeMessage& message,
                                TimePoint now) {
  OnActivity(now);
  if (const auto* deliver = std::get_if<DeliverMessage>(&message)) {
    OnDeliver(source, *deliver, now);
  } else if (const auto* heartbeat = std::get_if<BalancerHeartbeat>(&message)) {
    OnHeartbeat(source, *heartbeat, now);
  } else if (const auto* request = std::get_if<ReportRequest>(&message)) {
    OnReportRequest(source, *request, now);
  } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
    OnFlowQuery(source, *query, now);
  } else if (const auto* handover = std::get_if<FlowHandover>(&message)) {
    OnHandover(source, *handover, now);
  } else if (std::holds_alternative<LivenessQuery>(message)) {
    Introduce(source, now);
    m_reporter.SendTo(source, MakeStatus(now), {}, m_balancers);
  } else {
    Report(Kind::kDropped, {}, source, "unexpected_message");
  }
}

void FlowTracker::OnActivity(TimePoint now) {
  if (m_last_activity != TimePoint{} &&
      now - m_last_activity >= kPauseThreshold) {
    m_resumed = now;
    m_view_confirmed = false;
    m_running_requests.OnPause(now);
    Report(Kind::kPeerPhase, {}, {}, "resumed");
    m_reporter.SendToAll(MakeStatus(now), m_balancers);
  }
  m_last_activity = now;
}

void FlowTracker::ConfirmView(TimePoint now) {
  // A message that waited during the pause says nothing about the present.
  m_view_confirmed = m_view_confirmed || now - m_resumed >= kBacklogTime;
}

void FlowTracker::OnDeliver(const SocketAddress& source,
                            const DeliverMessage& message,
                            TimePoint now) {
  const std::optional<FlowPacket> packet = m_codec.Decode(message.packet);
  if (!packet || (packet->syn && packet->ack)) {
    Report(Kind::kDropped, {}, source, "malformed");
    return;
  }
  // A restarted agent learns of the balancers from the packets that they
  // forward, and reports at once to get their heartbeats.
  Introduce(source, now);
  const FlowTuple tuple{packet->source, packet->destination};
  const bool own_service = message.service == m_settings.service;
  if (!own_service && !packet->IsOpening()) {
    SendUnknown(source, tuple, ToString(ReturnReason::kWrongService));
  } else if (!own_service) {
    SendReturn(source, ReturnReason::kWrongService, tuple, message.packet);
  } else if (packet->IsOpening()) {
    OnOpening(source, message, *packet, tuple, now);
  } else {
    OnFlowPacket(source, message, *packet, tuple, now);
  }
}

void FlowTracker::OnOpening(const SocketAddress& source,
                            const DeliverMessage& message,
                            const FlowPacket& packet,
                            const FlowTuple& tuple,
                            TimePoint now) {
  const auto known = m_flows.find(tuple);
  const bool copy =
      known != m_flows.end() && known->second.syn_sequence == packet.sequence &&
      !IsUnproven(known->second) && known->second.state != State::kAbsent &&
      m_view_confirmed && !IsOfOtherService(m_entry_revision);
  if (!copy) {
    const Duration age = kSynCopyTimes[std::min<std::size_t>(
        packet.acknowledgment, kSynCopyTimes.size() - 1)];
    const ReturnReason refusal = RejectReason(now);
    if (refusal != ReturnReason::kCount) {
      SendReturn(source, refusal, tuple, message.packet);
      return;
    }
    if (m_pending_requests.MustWait(m_running) &&
        m_pending_requests.IsOverloaded(message.flow_class, m_running, now,
                                        age)) {
      SendReturn(source, ReturnReason::kUpstreamFull, tuple, message.packet,
                 message.flow_class.priority);
      return;
    }
    if (!m_health.TryAdmit(now)) {
      SendReturn(source, ReturnReason::kUpstreamFailing, tuple, message.packet);
      return;
    }
    if (!m_cold_start.TryAdmit(now)) {
      SendReturn(source, ReturnReason::kUpstreamCold, tuple, message.packet);
      return;
    }
    if (known != m_flows.end()) {
      EraseFlow(known);
    }
    UpstreamFlow& flow = m_flows[tuple];
    flow.syn_sequence = packet.sequence;
    flow.opened = now;
    flow.requested = now - age;
    flow.data_sequence = packet.sequence;
    flow.flow_class = message.flow_class;
    Report(Kind::kPlaced, tuple, source, "to_upstream");
    if (++m_placed_since_status >= kMaxFlowsBeforeStatus) {
      SendStatusSoon(now);
    }
  }
  UpstreamFlow& flow = m_flows[tuple];
  flow.balancer = source;
  flow.last_packet = now;
  m_output->SendToUpstream(message.packet);
}

FlowTracker::Holding FlowTracker::HoldingOf(const FlowQuery& query,
                                            TimePoint now) const {
  const Holding unknown =
      m_knowledge.IsComplete(now) ? Holding::kNotHeld : Holding::kUnsure;
  const auto position = m_flows.find(query.tuple);
  if (position == m_flows.end()) {
    return unknown;
  }
  const UpstreamFlow& flow = position->second;
  const bool is_other_flow =
      flow.acknowledgment != 0 && !query.is_reset &&
      IsFarFrom(query.acknowledgment, flow.acknowledgment);
  switch (flow.state) {
    case State::kOpening:
      return query.is_reset ||
                     (flow.answered &&
                      query.acknowledgment - flow.upstream_sequence <= 1)
                 ? Holding::kHeld
                 : Holding::kNotHeld;
    case State::kUnconfirmed:
      return Holding::kUnsure;
    case State::kRestored:
      return is_other_flow ? Holding::kUnsure : Holding::kHeld;
    case State::kAbsent:
      return is_other_flow ? unknown : Holding::kNotHeld;
    case State::kOpen:
      return is_other_flow ? Holding::kNotHeld : Holding::kHeld;
    case State::kClosing:
      return is_other_flow ? unknown : Holding::kHeld;
  }
  return unknown;
}

void FlowTracker::OnFlowQuery(const SocketAddress& source,
                              const FlowQuery& query,
                              TimePoint now) {
  Introduce(source, now);
  if (m_phase == AgentPhase::kUpstreamDown) {
    SendUnknown(source, query.tuple, ToString(m_phase));
    return;
  }
  const auto position = m_flows.find(query.tuple);
  const bool is_known = position != m_flows.end();
  switch (HoldingOf(query, now)) {
    case Holding::kHeld:
      position->second.last_packet = now;
      m_reporter.SendTo(source, MakeStatus(now),
                        {{query.tuple, position->second.acknowledgment}},
                        m_balancers);
      return;
    case Holding::kNotHeld:
      if (is_known && position->second.state == State::kOpening) {
        // The caller has acknowledged the SYN+ACK of another upstream.
        position->second.acknowledgment = query.acknowledgment;
        MarkAbsent(&position->second);
      } else if (is_known && position->second.state == State::kAbsent) {
        position->second.last_packet = now;
        position->second.acknowledgment = query.acknowledgment;
      }
      Report(Kind::kUnknownThere, query.tuple, source, "not_held");
      m_output->SendToNode(
          source,
          FlowUnknownMessage{query.tuple, true,
                             is_known && position->second.has_returned});
      return;
    case Holding::kUnsure:
      if (m_phase == AgentPhase::kStopping) {
        // The upstream can get no packet for the time of the restart. Without
        // an answer the search waits for the next run of the agent.
        Report(Kind::kDropped, query.tuple, source, "stopping");
        return;
      }
      Report(Kind::kUnknownThere, query.tuple, source, "not_known");
      m_output->SendToNode(
          source, FlowUnknownMessage{query.tuple, false,
                                     is_known && position->second.state ==
                                                     State::kUnconfirmed});
  }
}

void FlowTracker::OnHandover(const SocketAddress& source,
                             const FlowHandover& handover,
                             TimePoint now) {
  if (handover.service != m_settings.service) {
    Report(Kind::kDropped, {}, source, ToString(ReturnReason::kWrongService));
    return;
  }
  m_knowledge.OnHandover(handover);
  Report(Kind::kPeerPhase, {}, source,
         handover.is_complete ? "handover" : "handover_incomplete");
  for (const ReportedFlow& held : handover.flows) {
    const auto [position, added] = m_flows.try_emplace(held.tuple);
    if (added) {
      position->second.state = State::kRestored;
      position->second.acknowledgment = held.acknowledgment;
      position->second.last_packet = now;
    }
  }
}

void FlowTracker::SendHandover(TimePoint now) {
  std::vector<ReportedFlow> held;
  for (const auto& [tuple, flow] : m_flows) {
    if (flow.state == State::kOpening && flow.answered) {
      held.push_back({tuple, flow.upstream_sequence + 1});
    } else if (flow.state == State::kOpen || flow.state == State::kClosing ||
               flow.state == State::kRestored) {
      held.push_back({tuple, flow.acknowledgment});
    }
  }
  FlowHandover message;
  message.service = m_settings.service;
  message.incarnation = m_settings.incarnation;
  message.round = ++m_handover_round;
  message.is_complete = m_knowledge.IsComplete(now);
  for (const SocketAddress& balancer :
       m_balancers.HandoverReceivers(m_settings.zone)) {
    SendInParts(balancer, held, message, m_output);
  }
}

void FlowTracker::OnFlowPacket(const SocketAddress& source,
                               const DeliverMessage& message,
                               const FlowPacket& packet,
                               const FlowTuple& tuple,
                               TimePoint now) {
  if (m_phase == AgentPhase::kUpstreamDown) {
    SendUnknown(source, tuple, ToString(m_phase));
    return;
  }
  if (message.search && HoldingOf({tuple, packet.acknowledgment, packet.reset},
                                  now) == Holding::kNotHeld) {
    SendUnknown(source, tuple, "not_held");
    return;
  }
  const auto [position, added] = m_flows.try_emplace(tuple);
  UpstreamFlow& flow = position->second;
  if (message.search && !added && flow.state == State::kUnconfirmed &&
      flow.balancer != source && now - flow.last_packet < kProbeAnswerTime) {
    // Two balancers search for the flow at the same time. Its upstream still
    // has the packet of the other one.
    Report(Kind::kDropped, tuple, source, "probed_already");
    return;
  }
  if (flow.state == State::kAbsent &&
      !IsFarFrom(packet.acknowledgment, flow.acknowledgment)) {
    // Packets of an open flow must not reach an upstream that does not hold it
    // again and again, whichever balancer searches for the owner.
    flow.last_packet = now;
    flow.acknowledgment = packet.acknowledgment;
    SendUnknown(source, tuple, "absent");
    return;
  }
  if (added || flow.state == State::kAbsent) {
    flow.state = State::kUnconfirmed;
    flow.caller_closed = false;
    flow.has_returned = false;
    flow.expired_sequence.reset();
    flow.flow_class = message.flow_class;
    flow.data_sequence = packet.sequence - 1;
  } else if (flow.balancer == SocketAddress{}) {
    // The agent knows the flow from a handover or from its upstream's packets.
    flow.flow_class = message.flow_class;
    flow.data_sequence = packet.sequence - 1;
  }
  if (flow.state == State::kOpen && flow.acknowledgment != 0 && !packet.reset &&
      IsFarFrom(packet.acknowledgment, flow.acknowledgment)) {
    // The caller has given the flow up and uses the port again; the new flow is
    // open at another upstream.
    SendUnknown(source, tuple, "other_flow");
    return;
  }
  const bool moved = flow.balancer != source;
  flow.balancer = source;
  flow.acknowledgment = packet.acknowledgment;
  if (flow.state == State::kOpening && !packet.reset) {
    // Several upstreams may have answered the SYN. The caller opens the flow at
    // the one whose sequence number it acknowledges.
    const std::uint32_t ahead = packet.acknowledgment - flow.upstream_sequence;
    if (!flow.answered || ahead > 1) {
      EraseFlow(position);
      SendUnknown(source, tuple, "opened_elsewhere");
      return;
    }
    m_output->Measure(FlowMeasurement::kOpening, now - flow.opened);
    MarkOpen(tuple, &flow);
  } else if (flow.state == State::kOpen && moved) {
    // The packets of the flow now come through another balancer, which needs a
    // report of the flow. One that searches for the owner gets it at once,
    // since it would send the next packet to all agents again.
    MarkOpen(tuple, &flow);
    if (message.search) {
      m_reporter.SendTo(source, MakeStatus(now), {{tuple, flow.acknowledgment}},
                        m_balancers);
    }
  }
  flow.last_packet = now;
  if (IsUnproven(flow)) {
    const bool restored = flow.state == State::kRestored;
    Report(Kind::kUnconfirmed, tuple, source,
           restored ? "restored" : (message.search ? "search" : "assigned"));
  }
  if (packet.fin || packet.reset) {
    flow.caller_closed = true;
    if (!IsUnproven(flow)) {
      flow.state = State::kClosing;
    }
    EndRequest(&flow);
    m_pending_requests.Erase(tuple);
  } else if (packet.data_bytes > 0) {
    OnRequestData(message, packet, tuple, &flow, now);
    return;
  }
  m_output->SendToUpstream(message.packet);
}

void FlowTracker::OnRequestData(const DeliverMessage& message,
                                const FlowPacket& packet,
                                const FlowTuple& tuple,
                                UpstreamFlow* flow,
                                TimePoint now) {
  const std::uint32_t end = packet.sequence + packet.data_bytes;
  if (PendingRequestQueue::Request* waiting = m_pending_requests.Find(tuple)) {
    if (IsAfter(end, waiting->end_sequence)) {
      waiting->end_sequence = end;
      waiting->packets.emplace_back(message.packet.begin(),
                                    message.packet.end());
    }
    return;
  }
  if (flow->expired_sequence && !IsAfter(end, *flow->expired_sequence) &&
      m_pending_requests.MustWait(m_running)) {
    // A late copy of a request that was given up would count as a new one.
    Report(Kind::kDropped, tuple, flow->balancer, "caller_gave_up");
    return;
  }
  // The upstream answers data on a closed flow with a reset, which says nothing
  // about its health.
  const bool begins = flow->state != State::kClosing && !flow->running &&
                      IsAfter(end, flow->data_sequence);
  if (begins && flow->state == State::kOpen &&
      m_pending_requests.MustWait(m_running) &&
      m_pending_requests.MayWait(flow->flow_class)) {
    Report(Kind::kHeld, tuple, flow->balancer, "upstream_busy");
    // Callers open a flow to send a request, for which they have waited since.
    const bool is_first = flow->data_sequence == flow->syn_sequence &&
                          now - flow->opened < kFirstRequestTimeout;
    m_output->Measure(FlowMeasurement::kExpectedWait, QueueWait(now));
    m_pending_requests.Push({tuple,
                             flow->flow_class,
                             is_first ? flow->requested : now,
                             end,
                             {{message.packet.begin(), message.packet.end()}}});
    return;
  }
  if (begins) {
    StartRequest(flow, now);
  }
  if (IsAfter(end, flow->data_sequence)) {
    flow->data_sequence = end;
  }
  m_output->SendToUpstream(message.packet);
}

void FlowTracker::SendStatusSoon(TimePoint now) {
  if (m_reporter.Expedite(now)) {
    SendStatus(now);
  }
}

void FlowTracker::StartRequest(UpstreamFlow* flow, TimePoint now) {
  flow->running = true;
  flow->delivered = now;
  flow->request = m_running_requests.Add(flow->flow_class, now);
  if (++m_running == m_pending_requests.slots()) {
    SendStatusSoon(now);
  }
}

std::optional<Duration> FlowTracker::EndRequest(UpstreamFlow* flow) {
  if (!flow->running) {
    return std::nullopt;
  }
  flow->running = false;
  --m_running;
  return m_running_requests.Remove(flow->request, m_last_activity);
}

void FlowTracker::EraseFlow(UpstreamFlowTable::iterator position) {
  EndRequest(&position->second);
  m_pending_requests.Erase(position->first);
  m_flows.erase(position);
}

void FlowTracker::MarkAbsent(UpstreamFlow* flow) {
  EndRequest(flow);
  flow->state = State::kAbsent;
}

void FlowTracker::ReleaseRequests(TimePoint now) {
  while (auto request = m_pending_requests.TakeNext(m_running, now)) {
    const auto position = m_flows.find(request->tuple);
    if (position == m_flows.end()) {
      continue;
    }
    FlowDecision decision;
    decision.kind = Kind::kReleased;
    decision.tuple = request->tuple;
    decision.reason = "slot_free";
    decision.service = m_settings.service;
    decision.running = m_running;
    decision.priority = request->flow_class.priority;
    decision.late = !request->in_time;
    decision.waited =
        std::chrono::duration_cast<milliseconds>(now - request->arrived);
    m_output->Report(decision);
    m_output->Measure(FlowMeasurement::kWait, now - request->arrived);
    StartRequest(&position->second, now);
    position->second.data_sequence = request->end_sequence;
    for (const auto& packet : request->packets) {
      m_output->SendToUpstream(packet);
    }
  }
}

void FlowTracker::ExpireRequests(TimePoint now) {
  for (const PendingRequestQueue::Request& request :
       m_pending_requests.TakeExpired(now)) {
    const auto position = m_flows.find(request.tuple);
    if (position == m_flows.end()) {
      continue;
    }
    position->second.expired_sequence = request.end_sequence;
    Report(Kind::kDropped, request.tuple, position->second.balancer,
           "caller_gave_up", request.flow_class.priority);
  }
}

void FlowTracker::OnUpstreamPacket(std::span<std::uint8_t> datagram,
                                   TimePoint now) {
  OnActivity(now);
  const std::optional<FlowPacket> packet = m_codec.Decode(datagram);
  if (!packet) {
    Report(Kind::kDropped, {}, {}, "malformed");
    return;
  }
  if (packet->bounced) {
    OnBouncedPacket(*packet, datagram, now);
    return;
  }
  const FlowTuple tuple{packet->destination, packet->source};
  const auto [position, added] = m_flows.try_emplace(tuple);
  UpstreamFlow& flow = position->second;
  const bool was_absent = flow.state == State::kAbsent;
  if (added || was_absent) {
    flow.state = State::kUnconfirmed;
  }
  flow.last_packet = now;
  if (flow.acknowledgment == 0 && !packet->reset) {
    // The caller acknowledges numbers of about this size.
    flow.acknowledgment = packet->sequence;
  }
  if (IsUnproven(flow) && packet->reset) {
    // An upstream also resets flows that it has closed or never had, while the
    // caller's flow may be open at another upstream. The caller must not see
    // such a reset.
    const SocketAddress balancer = flow.balancer;
    if (added) {
      EraseFlow(position);
    } else {
      MarkAbsent(&flow);
    }
    if (balancer != SocketAddress{}) {
      SendUnknown(balancer, tuple, "reset_by_upstream");
    }
    return;
  }
  if (packet->syn) {
    flow.answered = true;
    flow.upstream_sequence = packet->sequence;
  } else if (IsUnproven(flow)) {
    if (flow.balancer != SocketAddress{}) {
      Report(Kind::kConfirmed, tuple, flow.balancer, "upstream_packet");
    }
    if (flow.caller_closed) {
      flow.state = State::kClosing;
    } else {
      MarkOpen(tuple, &flow);
    }
  }
  if (packet->data_bytes > 0 && flow.running) {
    if (const std::optional<Duration> work = EndRequest(&flow)) {
      m_pending_requests.OnAnswer(flow.flow_class, *work);
      m_recent_work.OnAnswer(*work, now);
    }
    m_health.OnAnswer();
    m_output->Measure(FlowMeasurement::kAnswer, now - flow.delivered);
  }
  if (packet->reset) {
    OnUpstreamReset(tuple, flow, now);
  }
  if (packet->fin || packet->reset) {
    flow.state = State::kClosing;
    EndRequest(&flow);
    // The upstream would reset a request that still waits.
    m_pending_requests.Erase(tuple);
  }
  m_output->SendToCaller(tuple.caller, datagram);
  ReleaseRequests(now);
}

void FlowTracker::OnUpstreamReset(const FlowTuple& tuple,
                                  const UpstreamFlow& flow,
                                  TimePoint now) {
  if (!flow.running && flow.state != State::kOpening) {
    return;
  }
  OnFailures(1, tuple, flow.balancer, "requests_reset", now);
}

void FlowTracker::OnFailures(int count,
                             const FlowTuple& tuple,
                             const SocketAddress& balancer,
                             const char* reason,
                             TimePoint now) {
  const bool was_failing = m_health.IsFailing();
  for (int i = 0; i < count; ++i) {
    m_health.OnFailure(now);
  }
  if (!was_failing && m_health.IsFailing()) {
    Report(Kind::kUpstreamFailing, tuple, balancer, reason);
  }
}

void FlowTracker::OnBouncedPacket(const FlowPacket& packet,
                                  std::span<std::uint8_t> datagram,
                                  TimePoint /*now*/) {
  const FlowTuple tuple{packet.source, packet.destination};
  const auto position = m_flows.find(tuple);
  if (position == m_flows.end()) {
    Report(Kind::kDropped, tuple, {}, "handed_back_unknown");
    return;
  }
  const UpstreamFlow flow = position->second;
  m_codec.ClearBounced(datagram);
  if (packet.IsOpening()) {
    if (flow.state == State::kOpening && !flow.answered) {
      EraseFlow(position);
    }
    SendReturn(flow.balancer, ReturnReason::kUpstreamFull, tuple, datagram);
    return;
  }
  if (flow.acknowledgment != 0 &&
      IsFarFrom(packet.acknowledgment, flow.acknowledgment)) {
    // The packet belongs to another flow on the port.
    SendUnknown(flow.balancer, tuple, "other_flow");
    return;
  }
  if (IsUnproven(flow) || flow.state == State::kAbsent) {
    position->second.has_returned = true;
    MarkAbsent(&position->second);
    SendUnknown(flow.balancer, tuple, "handed_back");
    return;
  }
  EraseFlow(position);
  if (flow.state == State::kOpen) {
    Reset(tuple, flow, "upstream_lost_flow");
  }
}

ReturnReason FlowTracker::RejectReason(TimePoint now) const {
  if (m_phase == AgentPhase::kStopping) {
    return ReturnReason::kAgentStopping;
  }
  if (m_phase == AgentPhase::kUpstreamDown) {
    return ReturnReason::kUpstreamDown;
  }
  if (IsOfOtherService(m_entry_revision)) {
    return ReturnReason::kWrongService;
  }
  if (m_entry_revision == Revision{} || !m_view_confirmed) {
    // The upstream may be in its cold start, or not be allowed to get flows.
    return ReturnReason::kUpstreamCold;
  }
  if (m_draining) {
    return ReturnReason::kUpstreamDraining;
  }
  return m_balancers.IsZoneOut(now) ? ReturnReason::kZoneOut
                                    : ReturnReason::kCount;
}

void FlowTracker::OnHeartbeat(const SocketAddress& source,
                              const BalancerHeartbeat& heartbeat,
                              TimePoint now) {
  ConfirmView(now);
  if (m_balancers.OnHeartbeat(source, heartbeat, now)) {
    Report(Kind::kPeerBack, {}, source, "heartbeat");
    SendAllFlows(source, now);
  }
  for (const SocketAddress& address : heartbeat.new_balancers) {
    if (m_balancers.OnAnnounced(address, now)) {
      Report(Kind::kPeerBack, {}, address, "announced");
      SendAllFlows(address, now);
    }
  }
  OnUpstreamEntry(source, heartbeat, now);
}

void FlowTracker::Introduce(const SocketAddress& balancer, TimePoint now) {
  if (m_balancers.OnIntroduced(balancer, now)) {
    Report(Kind::kPeerBack, {}, balancer, "introduced");
    SendAllFlows(balancer, now);
  }
}

void FlowTracker::OnReportRequest(const SocketAddress& source,
                                  const ReportRequest& request,
                                  TimePoint now) {
  const auto before = m_balancers.ReportInterval(source);
  m_balancers.OnReportRequest(source, request, now);
  if (!request.service.empty() && request.entry_revision >= m_listed_revision) {
    m_listed_service = request.service;
    m_listed_revision = request.entry_revision;
  }
  ConfirmView(now);
  if (before != request.interval && m_balancers.WantsReports(source, now)) {
    m_reporter.SendTo(source, MakeStatus(now), {}, m_balancers);
  }
}

bool FlowTracker::IsOfOtherService(Revision revision) const {
  return !m_listed_service.empty() && m_listed_service != m_settings.service &&
         m_listed_revision >= revision;
}

void FlowTracker::OnUpstreamEntry(const SocketAddress& source,
                                  const BalancerHeartbeat& heartbeat,
                                  TimePoint now) {
  if (heartbeat.entry_revision == Revision{} ||
      heartbeat.entry_revision < m_entry_revision ||
      IsOfOtherService(heartbeat.entry_revision)) {
    return;
  }
  if (heartbeat.entry_revision > m_entry_revision) {
    Report(Kind::kPeerPhase, {}, source,
           heartbeat.draining ? "entry_draining" : "entry_ready");
    m_cold_start.SetColdStart(now + heartbeat.cold_left,
                              heartbeat.cold_rate_milli);
  }
  m_entry_revision = heartbeat.entry_revision;
  if (m_knowledge.OnUpstreamStarted(heartbeat.upstream_started)) {
    Report(Kind::kPeerPhase, {}, source, "upstream_started");
    // Balancers wait for what the agent knows now.
    SendStatusSoon(now);
  }
  m_pending_requests.SetSlots(heartbeat.slots);
  m_running_requests.SetSlots(heartbeat.slots);
  m_draining = heartbeat.draining;
}

void FlowTracker::OnUpstreamAbsent() {
  m_knowledge.OnUpstreamAbsent();
  Report(Kind::kPeerPhase, {}, {}, "upstream_absent");
}

void FlowTracker::OnUpstreamDown(TimePoint now) {
  SetPhase(AgentPhase::kUpstreamDown, now);
  for (const auto& [tuple, flow] : m_flows) {
    if (flow.state == State::kOpen) {
      Reset(tuple, flow, "upstream_down");
    }
  }
  m_flows.clear();
  m_pending_requests = {};
  m_health = {};
  m_running_requests = {};
  m_recent_work = {};
  m_running = 0;
}

void FlowTracker::OnUpstreamUp(TimePoint now) {
  SetPhase(AgentPhase::kServing, now);
}

void FlowTracker::BeginStop(TimePoint now) {
  if (m_phase != AgentPhase::kUpstreamDown) {
    SetPhase(AgentPhase::kStopping, now);
  }
}

void FlowTracker::SetPhase(AgentPhase phase, TimePoint now) {
  if (m_phase == phase || m_phase == AgentPhase::kStopping) {
    return;
  }
  m_phase = phase;
  Report(Kind::kPeerPhase, {}, {}, ToString(phase));
  m_notices_until = now + kNoticeTime;
  SendNotices(now);
}

void FlowTracker::SendNotices(TimePoint now) {
  m_reporter.SendToAll(MakeStatus(now), m_balancers);
  if (m_phase == AgentPhase::kStopping) {
    SendHandover(now);
  }
}

void FlowTracker::OnTick(TimePoint now) {
  OnActivity(now);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    Sweep(now);
  }
  OnFailures(m_running_requests.TakeUnanswered(m_pending_requests.work(), now),
             {}, {}, "requests_unanswered", now);
  if (m_running > 0) {
    m_recent_work.OnBusy(now);
  }
  ExpireRequests(now);
  ReleaseRequests(now);
  if (m_reporter.IsDue(now)) {
    SendStatus(now);
  }
  if (now < m_notices_until) {
    SendNotices(now);
  }
}

void FlowTracker::Sweep(TimePoint now) {
  for (auto each = m_flows.begin(); each != m_flows.end();) {
    const auto position = each++;
    UpstreamFlow& flow = position->second;
    if (flow.running && now - flow.delivered > kMaxRequestTime) {
      Report(Kind::kUnanswered, position->first, flow.balancer, "no_answer");
      EndRequest(&flow);
    }
    const Duration idle = now - flow.last_packet;
    const bool may_be_open =
        flow.state == State::kOpen || flow.state == State::kRestored;
    if (idle > (may_be_open ? m_settings.flow_lifetime : kClosingTimeout)) {
      EraseFlow(position);
    }
  }
  for (const SocketAddress& silent : m_balancers.ExpireSilent(now)) {
    Report(Kind::kPeerSilent, {}, silent, "no_heartbeat");
  }
}

milliseconds FlowTracker::AgeOf(const UpstreamFlow& flow, TimePoint now) const {
  const bool opened_here = flow.opened != TimePoint{};
  return opened_here
             ? std::chrono::duration_cast<milliseconds>(now - flow.opened)
             : m_knowledge.MaxFlowAge(now);
}

AgentStatus FlowTracker::MakeStatus(TimePoint now) {
  AgentStatus status;
  status.incarnation = m_settings.incarnation;
  status.service = m_settings.service;
  status.zone = m_settings.zone;
  status.phase = m_phase;
  status.running =
      m_running + static_cast<std::uint32_t>(m_pending_requests.size());
  status.new_balancers = m_balancers.NextNewBalancers(now);
  status.needs_handover = m_knowledge.NeedsHandover(now);
  m_opening = 0;
  for (const auto& [tuple, flow] : m_flows) {
    const bool counts =
        flow.state == State::kOpening || flow.state == State::kOpen;
    if (flow.state == State::kOpen) {
      status.oldest_flow = std::max(status.oldest_flow, AgeOf(flow, now));
    }
    status.long_flows += counts && flow.flow_class.long_lived ? 1 : 0;
    // A short flow that is opening is about to carry its request.
    const bool brings_request = flow.state == State::kOpening &&
                                !flow.flow_class.long_lived &&
                                now - flow.last_packet < kFirstRequestTimeout;
    m_opening += brings_request ? 1 : 0;
  }
  status.running += m_opening;
  status.load = Load(now);
  return status;
}

std::optional<UpstreamLoad> FlowTracker::Load(TimePoint now) const {
  using std::chrono::microseconds;
  const std::optional<Duration> work = m_recent_work.Average(now);
  if (!work || m_pending_requests.slots() == 0) {
    return std::nullopt;
  }
  const Duration wait = m_running_requests.Wait(
      m_pending_requests.work(), m_pending_requests.size() + m_opening,
      m_pending_requests.WaitingWork() + *work * m_opening, now);
  return UpstreamLoad{std::chrono::duration_cast<microseconds>(wait),
                      std::chrono::duration_cast<microseconds>(*work)};
}

Duration FlowTracker::QueueWait(TimePoint now) const {
  return m_running_requests.Wait(m_pending_requests.work(),
                                 m_pending_requests.size(),
                                 m_pending_requests.WaitingWork(), now);
}

void FlowTracker::SendStatus(TimePoint now) {
  m_placed_since_status = 0;
  m_reporter.Send(MakeStatus(now), &m_balancers, now);
}

void FlowTracker::SendAllFlows(const SocketAddress& balancer, TimePoint now) {
  std::vector<ReportedFlow> open;
  for (const auto& [tuple, flow] : m_flows) {
    if (flow.state == State::kOpen &&
        m_balancers.CanReceiveFlowsOf(balancer, flow.balancer)) {
      open.push_back({tuple, flow.acknowledgment});
    }
  }
  m_reporter.SendTo(balancer, MakeStatus(now), open, m_balancers);
}

void FlowTracker::MarkOpen(const FlowTuple& tuple, UpstreamFlow* flow) {
  flow->state = State::kOpen;
  m_reporter.AddOpened({tuple, flow->acknowledgment}, flow->balancer);
}

void FlowTracker::Reset(const FlowTuple& tuple,
                        const UpstreamFlow& flow,
                        const char* reason) {
  Report(Kind::kReset, tuple, flow.balancer, reason);
  m_output->SendReset(tuple, flow.acknowledgment);
}

void FlowTracker::SendReturn(const SocketAddress& balancer,
                             ReturnReason reason,
                             const FlowTuple& tuple,
                             std::span<const std::uint8_t> packet,
                             std::optional<std::uint8_t> priority) {
  Report(Kind::kReturned, tuple, balancer, ToString(reason), priority);
  m_output->SendToNode(balancer, ReturnMessage{reason, packet});
}

void FlowTracker::SendUnknown(const SocketAddress& balancer,
                              const FlowTuple& tuple,
                              const char* reason) {
  Report(Kind::kUnknownThere, tuple, balancer, reason);
  m_output->SendToNode(balancer, FlowUnknownMessage{tuple});
}

void FlowTracker::Report(FlowDecision::Kind kind,
                         const FlowTuple& tuple,
                         const SocketAddress& peer,
                         const char* reason,
                         std::optional<std::uint8_t> priority) const {
  FlowDecision decision;
  decision.priority = priority;
  decision.kind = kind;
  decision.tuple = tuple;
  decision.peer = peer;
  decision.reason = reason;
  decision.service = m_settings.service;
  m_output->Report(decision);
}

}  // namespace fireflytrestle
