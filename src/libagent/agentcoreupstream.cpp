#include <algorithm>
#include <utility>

#include "libagent/agentcore.h"
#include "libagent/feedeventbuffer.h"
#include "libagent/responsebody.h"

namespace fireflytrestle {

bool AgentCore::MayContactUpstream() const {
  return m_lease_held && m_settings && !m_zone_out_since;
}

void AgentCore::SendToUpstream(ConnectionId id, UpstreamMessage message) {
  if (MayContactUpstream()) {
    m_actions->emplace_back(SendUpstream{id, std::move(message)});
  }
}

void AgentCore::RemoveConnection(const UpstreamConnection& connection) {
  m_connections.erase(connection.id);
  if (connection.hello_received) {
    --m_ready_connections;
  } else {
    --m_unverified;
  }
}

void AgentCore::CloseConnectionOf(Flow* flow) {
  if (!flow->connection) {
    return;
  }
  m_actions->emplace_back(CloseConnection{flow->connection->id});
  RemoveConnection(*flow->connection);
  flow->connection.reset();
}

void AgentCore::OpenControlConnection() {
  const ConnectionId id{++m_last_connection};
  m_control.OnRequested(id, m_now);
  m_admission.OnConnectionRequested(m_now);
  m_actions->emplace_back(OpenConnection{id});
}

void AgentCore::CheckControlConnection() {
  if (m_control.NeedsOpen(m_now) && m_admission.AllowsConnection(0, m_now)) {
    OpenControlConnection();
    return;
  }
  switch (m_control.Check(m_now, m_resumed)) {
    case LivenessMonitor::Status::kHealthy:
      break;
    case LivenessMonitor::Status::kPingDue:
      SendToUpstream(m_control.connection()->id, UpstreamPing{});
      m_control.OnPing(m_now);
      break;
    case LivenessMonitor::Status::kSilent:
      m_actions->emplace_back(CloseConnection{m_control.connection()->id});
      if (m_control.is_ready()) {
        --m_ready_connections;
        ++m_statistics.replaced_connections;
      }
      m_control.OnLost(m_now);
      break;
  }
}

void AgentCore::OnConnectionOpened(ConnectionId /*id*/) {
  // Nothing to do: a connection counts as working only once the upstream has
  // sent its hello.
}

void AgentCore::OnConnectionClosed(ConnectionId id) {
  bool hello_received = false;
  if (m_control.Is(id)) {
    hello_received = m_control.is_ready();
    m_ready_connections -= hello_received ? 1 : 0;
    m_control.OnLost(m_now);
  } else {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
      return;
    }
    Flow* flow = m_flows.Find(found->second);
    hello_received = flow->connection->hello_received;
    if (!hello_received) {
      m_reconnect_at = m_now + kReconnectBackoff;
    }
    OnConnectionLost(flow, false);
    Reschedule(flow);
  }
  if (hello_received && m_ready_connections == 0) {
    BeginColdStart();
  }
}

void AgentCore::OnUpstreamMessage(ConnectionId id,
                                  const UpstreamMessage& message) {
  if (m_control.Is(id)) {
    OnControlMessage(message);
    return;
  }
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Flow* flow = m_flows.Find(found->second);
  flow->connection->monitor.OnReceived(m_now);
  OnFlowMessage(flow, message);
  SendAssigned(flow);
  Reschedule(flow);
}

void AgentCore::OnControlMessage(const UpstreamMessage& message) {
  if (const auto* hello = std::get_if<UpstreamHello>(&message)) {
    m_ready_connections += m_control.is_ready() ? 0 : 1;
    m_control.OnStartIdentity(hello->start_identity, m_now);
    OnStartIdentity(hello->start_identity);
    if (hello->cold && !m_admission.is_cold()) {
      BeginColdStart();
    }
    OnControlReady();
    return;
  }
  if (!m_control.is_ready()) {
    return;
  }
  m_control.OnReceived(m_now);
  if (const auto* pong = std::get_if<UpstreamPong>(&message)) {
    m_control.OnStartIdentity(pong->start_identity, m_now);
    OnStartIdentity(pong->start_identity);
    OnUpstreamDraining(pong->draining);
  } else if (const auto* cancelled = std::get_if<UpstreamCancelled>(&message)) {
    m_slots_in_use -=
        static_cast<std::uint32_t>(m_orphans.erase(cancelled->number));
    const auto query = m_outcome_queries.find(cancelled->number);
    if (query == m_outcome_queries.end()) {
      return;
    }
    Flow* flow = m_flows.Find(query->second.flow);
    ActiveRequest* request = flow->FindNumber(cancelled->number);
    m_outcome_queries.erase(query);
    // An upstream that has restarted since the request was sent has no record
    // of it, so the request counts as started.
    const bool same_start =
        request->start_identity == m_control.connection()->start_identity;
    OnCancelled(flow, request, cancelled->started || !same_start);
    SendAssigned(flow);
    Reschedule(flow);
  }
}

void AgentCore::OnControlReady() {
  for (auto& [number, until] : m_orphans) {
    until = m_now + kOrphanTimeout;
    SendToUpstream(m_control.connection()->id, UpstreamCancel{number});
  }
  for (const auto& [number, query] : m_outcome_queries) {
    SendOutcomeQuery(number);
  }
}

void AgentCore::SendOutcomeQuery(std::uint64_t number) {
  if (m_control.is_ready()) {
    SendToUpstream(m_control.connection()->id, UpstreamCancel{number});
  }
}

void AgentCore::OnStartIdentity(std::uint64_t identity) {
  if (m_start_identity == identity) {
    return;
  }
  m_start_identity = identity;
  BeginColdStart();
}

void AgentCore::OnUpstreamDraining(bool draining) {
  m_drain.SetUpstreamDraining(draining, m_now);
}

void AgentCore::BeginColdStart() {
  ++m_statistics.cold_starts;
  m_admission.BeginColdStart(m_now);
}

void AgentCore::Dispatch() {
  while (m_slots_in_use < m_admission.request_limit() &&
         !m_drain.IsGraceOver(m_now)) {
    const auto entry = m_queue.Pop();
    if (!entry) {
      return;
    }
    Flow* flow = m_flows.Find(entry->flow);
    ActiveRequest* request = flow->FindSequence(entry->sequence);
    if (m_now >= request->deadline) {
      ++m_statistics.expired_requests;
      Abandon(flow, request, RefusalReason::kDeadline);
      continue;
    }
    request->holds_slot = true;
    ++m_slots_in_use;
    Assign(flow, request);
    Reschedule(flow);
  }
}

void AgentCore::Assign(Flow* flow, ActiveRequest* request) {
  request->state = State::kAssigned;
  SendAssigned(flow);
}

void AgentCore::Requeue(Flow* flow, ActiveRequest* request) {
  ReleaseSlot(request);
  request->state = State::kQueued;
  m_queue.PushFront({flow->handle, request->sequence});
}

void AgentCore::EnqueueForConnection(Flow* flow) {
  if (flow->connection || flow->waits_for_connection) {
    return;
  }
  flow->waits_for_connection = true;
  const bool holds_slot =
      std::any_of(flow->requests.begin(), flow->requests.end(),
                  [](const auto& request) { return request->holds_slot; });
  m_connection_queue.Push(flow->handle, holds_slot);
}

void AgentCore::OpenQueuedConnections() {
  while (!m_connection_queue.empty() && m_control.is_ready() &&
         m_now >= m_reconnect_at &&
         m_admission.AllowsConnection(m_unverified, m_now)) {
    Flow* flow = m_flows.Find(*m_connection_queue.Pop());
    if (flow == nullptr) {
      continue;
    }
    flow->waits_for_connection = false;
    if (flow->connection || !flow->HasAssigned()) {
      continue;
    }
    const ConnectionId id{++m_last_connection};
    flow->connection = std::make_unique<UpstreamConnection>(UpstreamConnection{
        .id = id,
        .requested = m_now,
        .monitor = LivenessMonitor(LivenessMonitor::kQuietThreshold, m_now)});
    m_connections.emplace(id, flow->handle);
    ++m_unverified;
    m_admission.OnConnectionRequested(m_now);
    m_actions->emplace_back(OpenConnection{id});
    Reschedule(flow);
  }
}

void AgentCore::SendAssigned(Flow* flow) {
  if (!MayContactUpstream() || !flow->HasAssigned()) {
    return;
  }
  if (!flow->connection) {
    EnqueueForConnection(flow);
    return;
  }
  UpstreamConnection& connection = *flow->connection;
  if (!connection.hello_received || connection.monitor.awaits_pong()) {
    return;
  }
  if (connection.monitor.IsQuiet(m_now)) {
    SendToUpstream(connection.id, UpstreamPing{});
    connection.monitor.OnPing(m_now);
    return;
  }
  for (std::size_t i = flow->requests.size(); i-- > 0;) {
    ActiveRequest* request = flow->requests[i].get();
    if (request->state != State::kAssigned) {
      continue;
    }
    if (m_now >= request->deadline) {
      ++m_statistics.expired_requests;
      Abandon(flow, request, RefusalReason::kDeadline);
    } else if (request->holds_slot &&
               m_slots_in_use > m_admission.request_limit()) {
      Requeue(flow, request);
    } else {
      SendRequest(flow, request);
    }
  }
}

void AgentCore::SendRequest(Flow* flow, ActiveRequest* request) {
  const UpstreamConnection& connection = *flow->connection;
  const bool feed = request->kind == RequestKind::kFeed;
  UpstreamRequest message;
  // Each attempt has its own number because the upstream may have recorded the
  // number of an earlier attempt as cancelled.
  message.number = ++m_last_number;
  message.attempt = request->attempt;
  message.kind = request->kind;
  message.non_idempotent = request->non_idempotent;
  message.body = request->body;
  if (feed) {
    message.resume_after =
        static_cast<const FeedEventBuffer&>(*request->response).last();
    request->may_have_run = true;
    // Otherwise an open feed would prevent the ledger window from advancing
    // past its sequence number.
    flow->ledger.MarkFinished(request->sequence);
  } else {
    message.deadline =
        std::chrono::ceil<std::chrono::milliseconds>(request->deadline - m_now);
    if (request->attempt == 0) {
      m_retry_budget.OnFirstAttempt();
    }
  }
  request->number = message.number;
  request->start_identity = connection.start_identity;
  request->started = false;
  request->sent = m_now;
  request->state = State::kRunning;
  SendToUpstream(connection.id, std::move(message));
}

void AgentCore::OnFlowMessage(Flow* flow, const UpstreamMessage& message) {
  UpstreamConnection& connection = *flow->connection;
  if (const auto* hello = std::get_if<UpstreamHello>(&message)) {
    if (!connection.hello_received) {
      connection.hello_received = true;
      --m_unverified;
      ++m_ready_connections;
    }
    connection.start_identity = hello->start_identity;
    OnStartIdentity(hello->start_identity);
    if (hello->cold && !m_admission.is_cold()) {
      BeginColdStart();
    }
    return;
  }
  if (const auto* pong = std::get_if<UpstreamPong>(&message)) {
    connection.start_identity = pong->start_identity;
    OnStartIdentity(pong->start_identity);
    OnUpstreamDraining(pong->draining);
    return;
  }
  const auto running = [flow](std::uint64_t number) {
    ActiveRequest* request = flow->FindNumber(number);
    const bool expected =
        request != nullptr && (request->state == State::kRunning ||
                               request->state == State::kCancelling);
    return expected ? request : nullptr;
  };
  if (const auto* part = std::get_if<UpstreamPart>(&message)) {
    if (ActiveRequest* request = running(part->number)) {
      OnPart(flow, request, *part);
    }
  } else if (const auto* event = std::get_if<UpstreamEvent>(&message)) {
    if (ActiveRequest* request = running(event->number)) {
      OnEvent(flow, request, *event);
    }
  } else if (const auto* shed = std::get_if<UpstreamShed>(&message)) {
    if (ActiveRequest* request = running(shed->number)) {
      OnShed(flow, request);
    }
  } else if (const auto* done = std::get_if<UpstreamCancelled>(&message)) {
    ActiveRequest* request = running(done->number);
    if (request != nullptr && request->state == State::kCancelling) {
      OnCancelled(flow, request, done->started);
    }
  }
}

void AgentCore::OnPart(Flow* flow,
                       ActiveRequest* request,
                       const UpstreamPart& part) {
  if (request->kind == RequestKind::kFeed) {
    if (part.last) {
      static_cast<FeedEventBuffer&>(*request->response).Close();
      request->state = State::kAwaitingAck;
      request->deadline = m_now + kIdleFlowTimeout;
      SendNewParts(flow, request);
    }
    return;
  }
  if (part.attempt != request->attempt) {
    return;
  }
  request->started = true;
  if (!request->response) {
    request->response = std::make_unique<ResponseBody>();
  }
  if (!static_cast<ResponseBody&>(*request->response)
           .Append(part.body, part.last)) {
    CancelOrphan(request);
    ReportUnknown(flow, request);
    return;
  }
  if (part.last) {
    request->state = State::kAwaitingAck;
    request->due = TimePoint::max();
    ReleaseSlot(request);
    ++m_statistics.answered_requests;
    if (request->kind == RequestKind::kOrder) {
      m_admission.OnResponse(m_now - request->sent);
    }
  }
  SendNewParts(flow, request);
}

void AgentCore::OnEvent(Flow* flow,
                        ActiveRequest* request,
                        const UpstreamEvent& event) {
  if (request->kind != RequestKind::kFeed) {
    return;
  }
  if (event.body.size() > kMaxPartBytes) {
    SendToUpstream(flow->connection->id, UpstreamCancel{request->number});
    ReportUnknown(flow, request);
    return;
  }
  switch (static_cast<FeedEventBuffer&>(*request->response)
              .Append(event.event, event.body)) {
    case FeedEventBuffer::Result::kAppended:
      SendNewParts(flow, request);
      break;
    case FeedEventBuffer::Result::kDuplicate:
      break;
    case FeedEventBuffer::Result::kGap:
      SuspendFeed(flow, request, kFeedRetryDelay);
      break;
    case FeedEventBuffer::Result::kFull:
      // OnAck() resumes the feed once the caller has acknowledged all buffered
      // events.
      SuspendFeed(flow, request, Duration::max());
      break;
  }
}

void AgentCore::SuspendFeed(Flow* flow, ActiveRequest* request, Duration wait) {
  SendToUpstream(flow->connection->id, UpstreamCancel{request->number});
  request->number = 0;
  request->state = State::kBackoff;
  request->due = wait == Duration::max() ? TimePoint::max() : m_now + wait;
}

void AgentCore::OnShed(Flow* flow, ActiveRequest* request) {
  ++m_statistics.cold_starts;
  m_admission.OnShed(m_now);
  ReleaseSlot(request);
  if (request->kind == RequestKind::kFeed) {
    SuspendFeed(flow, request, kFeedRetryDelay);
    return;
  }
  if (request->abandoned) {
    Abandon(flow, request, request->abandon_reason);
  } else if (m_drain.IsGraceOver(m_now)) {
    Abandon(flow, request, RefusalReason::kDraining);
  } else if (TryRetry(request)) {
    request->number = 0;
    request->state = State::kBackoff;
    request->due = m_now + kRetryBackoff * request->attempt;
  } else {
    Abandon(flow, request, RefusalReason::kOverloaded);
  }
}

void AgentCore::OnCancelled(Flow* flow, ActiveRequest* request, bool started) {
  if (started || request->started) {
    ReportUnknown(flow, request);
  } else if (request->abandoned) {
    Abandon(flow, request, request->abandon_reason);
  } else if (m_drain.IsGraceOver(m_now)) {
    Abandon(flow, request, RefusalReason::kDraining);
  } else if (TryRetry(request)) {
    request->number = 0;
    request->due = TimePoint::max();
    Requeue(flow, request);
  } else {
    Abandon(flow, request, RefusalReason::kRetryBudget);
  }
}

void AgentCore::CancelRunning(Flow* flow,
                              ActiveRequest* request,
                              RefusalReason reason) {
  request->abandoned = true;
  request->abandon_reason = reason;
  request->state = State::kCancelling;
  request->due = m_now + kCancelTimeout;
  SendToUpstream(flow->connection->id, UpstreamCancel{request->number});
}

void AgentCore::OnConnectionLost(Flow* flow, bool silent) {
  RemoveConnection(*flow->connection);
  flow->connection.reset();
  for (std::size_t i = flow->requests.size(); i-- > 0;) {
    OnRequestLost(flow, flow->requests[i].get(), silent);
  }
  SendAssigned(flow);
}

void AgentCore::OnRequestLost(Flow* flow, ActiveRequest* request, bool silent) {
  if (request->state != State::kRunning &&
      request->state != State::kCancelling) {
    return;
  }
  if (request->kind == RequestKind::kFeed && !request->non_idempotent) {
    if (silent) {
      // The upstream may not have detected the loss and still run the feed.
      CancelOrphan(request);
    }
    request->number = 0;
    request->state = State::kAssigned;
    return;
  }
  if (request->non_idempotent || request->abandoned) {
    request->state = State::kQueryingOutcome;
    request->due = m_now + kOutcomeQueryTimeout;
    m_outcome_queries.insert_or_assign(
        request->number, OutcomeQuery{flow->handle, request->sequence});
    SendOutcomeQuery(request->number);
    return;
  }
  request->may_have_run = true;
  CancelOrphan(request);
  if (m_drain.IsGraceOver(m_now) || !TryRetry(request)) {
    ReportUnknown(flow, request);
    return;
  }
  request->number = 0;
  request->response.reset();
  request->window.Restart(0);
  Requeue(flow, request);
}

bool AgentCore::TryRetry(ActiveRequest* request) {
  if (request->attempt + 1 >= kMaxAttempts) {
    return false;
  }
  if (!m_retry_budget.TryRetry(m_now)) {
    ++m_statistics.retry_budget_exhausted;
    return false;
  }
  ++request->attempt;
  ++m_statistics.upstream_retries;
  return true;
}

void AgentCore::CancelOrphan(ActiveRequest* request) {
  if (request->holds_slot) {
    request->holds_slot = false;
    m_orphans.emplace(request->number, m_now + kOrphanTimeout);
  }
  if (m_control.is_ready()) {
    SendToUpstream(m_control.connection()->id, UpstreamCancel{request->number});
  }
}

void AgentCore::ReleaseSlot(ActiveRequest* request) {
  if (request->holds_slot) {
    request->holds_slot = false;
    --m_slots_in_use;
  }
}

}  // namespace fireflytrestle
