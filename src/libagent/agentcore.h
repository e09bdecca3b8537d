#ifndef FIREFLYTRESTLE_LIBAGENT_AGENTCORE_H_
#define FIREFLYTRESTLE_LIBAGENT_AGENTCORE_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "libagent/admissioncontrol.h"
#include "libagent/agentaction.h"
#include "libagent/agentstatistics.h"
#include "libagent/connectionqueue.h"
#include "libagent/controlconnection.h"
#include "libagent/drainstate.h"
#include "libagent/flowtable.h"
#include "libagent/requestqueue.h"
#include "libagent/timerqueue.h"
#include "libbase/randomsource.h"
#include "libbase/retrybudget.h"
#include "libconfig/configuration.h"
#include "libwire/envelope.h"
#include "libwire/flowidcodec.h"
#include "libwire/upstreammessage.h"

namespace fireflytrestle {

/// \brief The decisions behind AgentEngine. Each entry point sets the time and
/// the action list for the duration of the call.
class AgentCore {
 public:
  AgentCore(TargetId target,
            FlowIdCodec codec,
            std::unique_ptr<RandomSource> random,
            TimePoint now);

  /// Sets what the calls that follow act at and append to.
  void BeginCall(TimePoint now, std::vector<AgentAction>* actions);
  /// Sends what has become possible. Ends each entry point.
  void EndCall();

  void SetConfiguration(const Configuration& configuration);
  void SetLease(TimePoint until) { m_lease_until = until; }
  void OnDatagram(SocketAddress balancer,
                  std::span<const std::uint8_t> datagram);
  void OnConnectionOpened(ConnectionId id);
  void OnConnectionClosed(ConnectionId id);
  void OnUpstreamMessage(ConnectionId id, const UpstreamMessage& message);
  void OnTick();
  void SetLeaving(bool leaving);
  void BeginStop();
  bool IsStopped(TimePoint now) const;
  const AgentStatistics& statistics() const { return m_statistics; }

 private:
  using State = ActiveRequest::State;

  // Caller side, in agentcorecaller.cpp.
  void OnOpen(const Envelope& envelope,
              SocketAddress balancer,
              const OpenMessage& open);
  void Bounce(const Envelope& envelope, SocketAddress balancer);
  /// Finds the flow of \p token and notes that a packet came; answers RESET
  /// for a flow that is gone.
  Flow* FindFlow(const Envelope& envelope,
                 SocketAddress balancer,
                 const FlowToken& token,
                 bool answer_reset);
  void OnRequest(Flow* flow, const RequestMessage& message);
  void AdmitRequest(Flow* flow, const RequestMessage& message);
  /// Reason not to take a new request now, if there is one.
  std::optional<RefusalReason> ReasonToRefuse(const Flow& flow,
                                              const RequestMessage& message);
  void OnAck(Flow* flow, const AckMessage& ack);
  void OnCancel(Flow* flow, std::uint32_t sequence);
  void AnswerFromLedger(Flow* flow, std::uint32_t sequence);
  void SendTo(SocketAddress balancer,
              SocketAddress caller,
              const CallerMessage& message);
  void Send(const Flow& flow, const CallerMessage& message) {
    SendTo(flow.balancer, flow.caller, message);
  }
  void SendEnvelope(SocketAddress balancer, Envelope* envelope);
  /// Sends the parts that the window allows.
  void SendNewParts(Flow* flow, ActiveRequest* request);
  void SendParts(const Flow& flow,
                 const ActiveRequest& request,
                 const std::vector<std::uint32_t>& indices);

  // Request outcomes, in agentcorecaller.cpp. Each removes the request.
  void Refuse(Flow* flow, ActiveRequest* request, RefusalReason reason);
  void ReportUnknown(Flow* flow, ActiveRequest* request);
  /// Refuses a request, or reports it unknown if an attempt may have run.
  void Abandon(Flow* flow, ActiveRequest* request, RefusalReason reason);
  void Finish(Flow* flow, ActiveRequest* request);
  void Remove(Flow* flow, ActiveRequest* request);
  /// Abandons everything that waits to be sent, but feeds that wait to resume.
  void AbandonUnsent(RefusalReason reason);
  void CloseFlow(Flow* flow);

  // Upstream side, in agentcoreupstream.cpp.
  bool MayContactUpstream() const;
  void SendToUpstream(ConnectionId id, UpstreamMessage message);
  void CloseConnectionOf(Flow* flow);
  void OpenControlConnection();
  void CheckControlConnection();
  void OnControlMessage(const UpstreamMessage& message);
  void OnControlReady();
  void OnStartIdentity(std::uint64_t identity);
  void OnUpstreamDraining(bool draining);
  void BeginColdStart();
  void Dispatch();
  void Assign(Flow* flow, ActiveRequest* request);
  void Requeue(Flow* flow, ActiveRequest* request);
  void EnqueueForConnection(Flow* flow);
  void OpenQueuedConnections();
  /// Sends the assigned requests of a flow if its connection works.
  void SendAssigned(Flow* flow);
  void SendRequest(Flow* flow, ActiveRequest* request);
  void OnFlowMessage(Flow* flow, const UpstreamMessage& message);
  void OnPart(Flow* flow, ActiveRequest* request, const UpstreamPart& part);
  void OnEvent(Flow* flow, ActiveRequest* request, const UpstreamEvent& event);
  void OnShed(Flow* flow, ActiveRequest* request);
  void OnCancelled(Flow* flow, ActiveRequest* request, bool started);
  /// Asks the upstream to stop a running request.
  void CancelRunning(Flow* flow, ActiveRequest* request, RefusalReason reason);
  /// Ends the subscription of a feed; it starts again after \p wait from the
  /// last event taken.
  void SuspendFeed(Flow* flow, ActiveRequest* request, Duration wait);
  void OnConnectionLost(Flow* flow, bool silent);
  void OnRequestLost(Flow* flow, ActiveRequest* request, bool silent);
  /// Counts one more attempt if attempts and retry budget allow.
  bool TryRetry(ActiveRequest* request);
  /// Asks on the control connection whether a lost request had started.
  void SendOutcomeQuery(std::uint64_t number);
  /// Cancels a request on the control connection, and keeps its slot until the
  /// upstream confirms that.
  void CancelOrphan(ActiveRequest* request);
  void ReleaseSlot(ActiveRequest* request);
  void RemoveConnection(const UpstreamConnection& connection);

  // Time, in agentcore.cpp.
  void CheckLease();
  void ProcessZoneOut();
  void ProcessTimers();
  void ProcessFlowTimer(Flow* flow);
  void ProcessRequestTimer(Flow* flow, ActiveRequest* request);
  void CheckConnection(Flow* flow);
  void SendHandovers();
  void ProcessDrain();
  void ProcessOutage();
  /// Whether the upstream could not be reached for kOutageThreshold.
  bool IsOutage() const;
  void ExpireOrphans();
  TimePoint NextDue(const Flow& flow) const;
  void Reschedule(Flow* flow);
  TargetState ComputeState() const;
  void UpdateGauges();

  static constexpr std::chrono::milliseconds kUnconfirmedFlowTimeout{5000};
  static constexpr std::chrono::milliseconds kIdleFlowTimeout{60000};
  static constexpr std::chrono::milliseconds kZoneOutGrace{2000};
  static constexpr std::chrono::milliseconds kHandoverInterval{1000};
  static constexpr std::chrono::milliseconds kStopTimeout{30000};
  /// Time without a connection after which callers are told to go elsewhere.
  static constexpr std::chrono::milliseconds kOutageThreshold{2000};
  static constexpr std::chrono::milliseconds kConnectTimeout{2000};
  /// Wait for the answer to a cancel on a connection that works.
  static constexpr std::chrono::milliseconds kCancelTimeout{1000};
  /// Wait for the answer to a cancel on the control connection: longer than it
  /// takes to find that connection silent.
  static constexpr std::chrono::milliseconds kOrphanTimeout{2000};
  /// Wait for the answer to a question about a lost request: time to find the
  /// control connection silent, open another and ask again.
  static constexpr std::chrono::milliseconds kOutcomeQueryTimeout{5000};
  static constexpr std::chrono::milliseconds kRetryBackoff{100};
  /// Wait after a connection of a flow could not be opened.
  static constexpr std::chrono::milliseconds kReconnectBackoff{100};
  static constexpr std::chrono::milliseconds kFeedRetryDelay{500};
  /// Ticks further apart than this mean that the process was paused.
  static constexpr std::chrono::milliseconds kPauseThreshold{500};
  /// Bound on the budget that a caller may ask for, and with it on how long an
  /// unacknowledged response is kept.
  static constexpr std::chrono::milliseconds kMaxRequestBudget{600000};
  static constexpr std::size_t kMaxActiveRequests = RequestLedger::kWindow;
  static constexpr int kMaxAttempts = 3;
  static constexpr double kRetryShare = 0.1;
  /// Lets an upstream with little traffic have any retry at all.
  static constexpr double kRetriesPerSecond = 1.0;

  struct OutcomeQuery {
    FlowHandle flow;
    std::uint32_t sequence = 0;
  };

  const TargetId m_target;
  const FlowIdCodec m_codec;
  const std::unique_ptr<RandomSource> m_random;
  const Incarnation m_incarnation;

  TimePoint m_now;
  std::vector<AgentAction>* m_actions = nullptr;

  TimePoint m_lease_until{};
  bool m_lease_held = false;
  /// Silence of callers counts from here at the earliest: their packets were
  /// not taken before.
  TimePoint m_lease_regained{};
  TimePoint m_last_tick;
  /// When the process last resumed from a pause.
  TimePoint m_resumed{};

  Revision m_revision{};
  std::optional<TargetSettings> m_settings;
  /// The configuration in force names the target.
  bool m_is_configured = false;
  /// Kinds of request that the configuration calls non-idempotent, by value.
  std::uint32_t m_non_idempotent_kinds = 0;
  std::optional<TimePoint> m_zone_out_since;

  FlowTable m_flows;
  TimerQueue m_timers;
  AdmissionControl m_admission;
  RequestQueue m_queue;
  ConnectionQueue m_connection_queue;
  RetryBudget m_retry_budget;
  DrainState m_drain;
  ControlConnection m_control;
  bool m_outage_handled = false;
  bool m_drain_handled = false;
  TimePoint m_reconnect_at{};
  TimePoint m_next_handover{};
  std::optional<TimePoint> m_stop_deadline;

  std::uint64_t m_last_connection = 0;
  std::uint64_t m_last_number = 0;
  std::optional<std::uint64_t> m_start_identity;
  std::unordered_map<ConnectionId, FlowHandle> m_connections;
  /// Connections of flows that were requested and have not greeted.
  std::uint32_t m_unverified = 0;
  /// Connections that have greeted, with the control connection.
  std::uint32_t m_ready_connections = 0;
  /// Slots in use.
  std::uint32_t m_slots_in_use = 0;
  std::unordered_map<std::uint64_t, OutcomeQuery> m_outcome_queries;
  /// Cancelled requests without flow that still hold a slot, and until when.
  std::map<std::uint64_t, TimePoint> m_orphans;

  AgentStatistics m_statistics;
  std::vector<std::uint32_t> m_part_indices;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_AGENTCORE_H_
