#include "libagent/agentcore.h"

#include <algorithm>
#include <utility>

namespace fireflytrestle {

AgentCore::AgentCore(TargetId target,
                     FlowIdCodec codec,
                     std::unique_ptr<RandomSource> random,
                     TimePoint now)
    : m_target(target),
      m_codec(std::move(codec)),
      m_random(std::move(random)),
      m_incarnation(Incarnation{m_random->Next()}),
      m_now(now),
      m_last_tick(now),
      m_admission(now),
      m_retry_budget(kRetryShare, kRetriesPerSecond, now),
      m_control(now),
      // The upper half is random for each start of the agent, so that the
      // upstream does not mistake a request for one from before the start.
      m_last_number(m_random->Next() << 32U) {}

void AgentCore::BeginCall(TimePoint now, std::vector<AgentAction>* actions) {
  m_now = now;
  m_actions = actions;
  CheckLease();
}

void AgentCore::EndCall() {
  if (MayContactUpstream()) {
    Dispatch();
    OpenQueuedConnections();
  }
  UpdateGauges();
}

void AgentCore::CheckLease() {
  const bool held = m_now < m_lease_until;
  if (held && !m_lease_held) {
    m_lease_regained = m_now;
    m_lease_held = true;
    m_flows.ForEach([this](Flow* flow) {
      SendAssigned(flow);
      for (const auto& request : flow->requests) {
        SendNewParts(flow, request.get());
      }
      Reschedule(flow);
    });
  }
  m_lease_held = held;
}

void AgentCore::SetConfiguration(const Configuration& configuration) {
  if (configuration.revision < m_revision) {
    return;
  }
  m_revision = configuration.revision;
  const auto target =
      std::find_if(configuration.targets.begin(), configuration.targets.end(),
                   [this](const TargetSettings& settings) {
                     return settings.id == m_target;
                   });
  m_is_configured = target != configuration.targets.end();
  if (m_is_configured) {
    m_settings = *target;
    m_admission.SetLimits(*target);
  }
  if (!m_settings) {
    return;
  }
  for (const ServiceSettings& service : configuration.services) {
    if (service.id != m_settings->service) {
      continue;
    }
    m_non_idempotent_kinds = 0;
    for (const RequestType& type : service.request_types) {
      if (!type.idempotent) {
        m_non_idempotent_kinds |= 1U << static_cast<unsigned>(type.kind);
      }
    }
  }
  const bool out =
      std::any_of(configuration.zones.begin(), configuration.zones.end(),
                  [this](const ZoneSettings& zone) {
                    return zone.id == m_settings->zone && zone.out;
                  });
  if (out && !m_zone_out_since) {
    m_zone_out_since = m_now;
    AbandonUnsent(RefusalReason::kZoneOut);
    // Handovers are sent at once: a caller that moves before its next request
    // loses nothing, but a request that still arrives here is dropped and its
    // caller cannot learn the outcome.
    m_next_handover = m_now;
    SendHandovers();
    if (m_control.connection()) {
      m_actions->emplace_back(CloseConnection{m_control.connection()->id});
      m_ready_connections -= m_control.is_ready() ? 1 : 0;
      m_control.OnLost(m_now);
    }
  } else if (!out && m_zone_out_since) {
    m_zone_out_since.reset();
    BeginColdStart();
  }
}

void AgentCore::OnTick() {
  if (m_now - m_last_tick > kPauseThreshold) {
    m_resumed = m_now;
  }
  m_last_tick = m_now;
  ProcessZoneOut();
  SendHandovers();
  if (!m_lease_held) {
    return;
  }
  ProcessDrain();
  ProcessOutage();
  ProcessTimers();
  ExpireOrphans();
  if (MayContactUpstream()) {
    CheckControlConnection();
    m_admission.OnTick(m_slots_in_use, m_now);
  }
}

void AgentCore::ProcessZoneOut() {
  if (!m_zone_out_since || m_now < *m_zone_out_since + kZoneOutGrace ||
      m_flows.size() == 0) {
    return;
  }
  m_flows.ForEach([this](Flow* flow) {
    ++m_statistics.resets_sent;
    Send(*flow, ResetMessage{flow->token});
    CloseFlow(flow);
  });
}

void AgentCore::ProcessTimers() {
  m_flows.ExpireNonces(m_now - kUnconfirmedFlowTimeout);
  while (const auto index = m_timers.PopDue(m_now)) {
    if (Flow* flow = m_flows.At(*index)) {
      ProcessFlowTimer(flow);
    }
  }
}

void AgentCore::ProcessFlowTimer(Flow* flow) {
  const bool unconfirmed =
      !flow->confirmed && m_now >= std::max(flow->opened, m_lease_regained) +
                                       kUnconfirmedFlowTimeout;
  const bool idle =
      m_now >= std::max(flow->last_packet, m_lease_regained) + kIdleFlowTimeout;
  if (unconfirmed || idle) {
    CloseFlow(flow);
    return;
  }
  // Processing can remove a request, which moves the last one to its position.
  for (std::size_t i = flow->requests.size(); i-- > 0;) {
    if (i < flow->requests.size()) {
      ProcessRequestTimer(flow, flow->requests[i].get());
    }
  }
  CheckConnection(flow);
  Reschedule(flow);
}

void AgentCore::ProcessRequestTimer(Flow* flow, ActiveRequest* request) {
  const bool expired = m_now >= request->deadline;
  const bool due = m_now >= request->due;
  if (expired && request->state != State::kCancelling) {
    ++m_statistics.expired_requests;
  }
  switch (request->state) {
    case State::kQueued:
    case State::kAssigned:
    case State::kBackoff:
      if (expired) {
        Abandon(flow, request, RefusalReason::kDeadline);
        return;
      }
      if (request->state == State::kBackoff && due) {
        request->due = TimePoint::max();
        if (request->kind == RequestKind::kFeed) {
          Assign(flow, request);
        } else {
          Requeue(flow, request);
        }
      }
      break;
    case State::kRunning:
      if (expired) {
        CancelRunning(flow, request, RefusalReason::kDeadline);
      }
      break;
    case State::kCancelling:
      if (due) {
        CancelOrphan(request);
        ReportUnknown(flow, request);
        return;
      }
      break;
    case State::kQueryingOutcome:
      if (expired || due) {
        CancelOrphan(request);
        ReportUnknown(flow, request);
        return;
      }
      break;
    case State::kAwaitingAck:
      if (expired) {
        flow->ledger.MarkUnknown(request->sequence);
        Remove(flow, request);
        return;
      }
      break;
  }
  m_part_indices.clear();
  request->window.TakeOverdue(m_now, &m_part_indices);
  SendParts(*flow, *request, m_part_indices);
}

void AgentCore::CheckConnection(Flow* flow) {
  if (!flow->connection || !MayContactUpstream()) {
    return;
  }
  UpstreamConnection& connection = *flow->connection;
  bool silent = false;
  if (!connection.hello_received) {
    silent =
        m_now >= std::max(connection.requested, m_resumed) + kConnectTimeout;
  } else if (flow->ExpectsResponse() || connection.monitor.awaits_pong()) {
    const auto status = connection.monitor.Check(m_now, m_resumed);
    if (status == LivenessMonitor::Status::kPingDue) {
      SendToUpstream(connection.id, UpstreamPing{});
      connection.monitor.OnPing(m_now);
    }
    silent = status == LivenessMonitor::Status::kSilent;
    m_statistics.replaced_connections += silent ? 1 : 0;
  }
  if (silent) {
    m_actions->emplace_back(CloseConnection{connection.id});
    OnConnectionLost(flow, true);
  }
}

void AgentCore::SetLeaving(bool leaving) {
  m_drain.SetLeaving(leaving, m_now);
}

void AgentCore::BeginStop() {
  if (m_stop_deadline) {
    return;
  }
  m_drain.SetStopping(m_now);
  m_stop_deadline = m_now + kStopTimeout;
  SendHandovers();
}

bool AgentCore::IsStopped(TimePoint now) const {
  return m_stop_deadline && (m_flows.size() == 0 || now >= *m_stop_deadline);
}

void AgentCore::SendHandovers() {
  if (!m_stop_deadline && !m_zone_out_since && !IsOutage()) {
    return;
  }
  if (m_now < m_next_handover) {
    return;
  }
  m_next_handover = m_now + kHandoverInterval;
  m_flows.ForEach(
      [this](Flow* flow) { Send(*flow, HandoverMessage{flow->token}); });
}

void AgentCore::ProcessDrain() {
  const bool closed = m_drain.IsGraceOver(m_now);
  if (closed && !m_drain_handled) {
    AbandonUnsent(RefusalReason::kDraining);
  }
  m_drain_handled = closed;
}

bool AgentCore::IsOutage() const {
  const auto since = m_control.down_since();
  return m_settings && m_lease_held && !m_zone_out_since && since &&
         m_now >= std::max(*since, m_lease_regained) + kOutageThreshold;
}

void AgentCore::ProcessOutage() {
  const bool outage = IsOutage();
  if (outage && !m_outage_handled) {
    AbandonUnsent(RefusalReason::kUpstreamUnavailable);
  }
  m_outage_handled = outage;
}

void AgentCore::ExpireOrphans() {
  if (!m_control.is_ready()) {
    return;
  }
  for (auto orphan = m_orphans.begin(); orphan != m_orphans.end();) {
    if (m_now < orphan->second) {
      ++orphan;
      continue;
    }
    --m_slots_in_use;
    orphan = m_orphans.erase(orphan);
  }
}

TimePoint AgentCore::NextDue(const Flow& flow) const {
  TimePoint due =
      std::max(flow.last_packet, m_lease_regained) + kIdleFlowTimeout;
  if (!flow.confirmed) {
    due = std::max(flow.opened, m_lease_regained) + kUnconfirmedFlowTimeout;
  }
  if (flow.connection) {
    const UpstreamConnection& connection = *flow.connection;
    if (!connection.hello_received) {
      due = std::min(due, connection.requested + kConnectTimeout);
    } else if (flow.ExpectsResponse() || connection.monitor.awaits_pong()) {
      due = std::min(due, connection.monitor.due());
    }
  }
  for (const auto& request : flow.requests) {
    due = std::min({due, request->due, request->window.due()});
    if (request->state != State::kCancelling) {
      due = std::min(due, request->deadline);
    }
  }
  return due;
}

void AgentCore::Reschedule(Flow* flow) {
  // At least 1 ms ahead, so that a flow whose timer is due but which cannot
  // proceed yet is not processed twice in one tick.
  const TimePoint due =
      std::max(NextDue(*flow), m_now + std::chrono::milliseconds(1));
  if (due < m_timers.DueOf(flow->handle.index)) {
    m_timers.Set(flow->handle.index, due);
  }
}

TargetState AgentCore::ComputeState() const {
  if (m_zone_out_since) {
    return TargetState::kOut;
  }
  if (m_drain.is_draining()) {
    return TargetState::kDraining;
  }
  if (!m_is_configured || m_control.is_failing()) {
    return TargetState::kUnavailable;
  }
  if (m_flows.size() >= m_admission.flow_limit()) {
    return TargetState::kFull;
  }
  return m_admission.is_cold() ? TargetState::kCold : TargetState::kWarm;
}

void AgentCore::UpdateGauges() {
  m_statistics.state = ComputeState();
  m_statistics.open_flows = m_flows.size();
  m_statistics.running_requests = m_slots_in_use;
  m_statistics.queued_requests = static_cast<std::uint32_t>(m_queue.size());
  m_statistics.request_limit = m_admission.request_limit();
  m_statistics.retries_available = m_retry_budget.available();
}

}  // namespace fireflytrestle
