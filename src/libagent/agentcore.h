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

/// \brief Implements AgentEngine: flows, requests, connections to the upstream,
/// timers and drain.
///
/// AgentEngine calls BeginCall() before and EndCall() after each call that may
/// produce actions.
class AgentCore {
 public:
  AgentCore(TargetId target,
            FlowIdCodec codec,
            std::unique_ptr<RandomSource> random,
            TimePoint now);

  /// Sets the time and the action list for the calls up to EndCall().
  void BeginCall(TimePoint now, std::vector<AgentAction>* actions);
  /// Sends queued requests and opens connections as far as the limits now
  /// allow, then updates the gauges.
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
  /// Finds the flow of \p token and records the arrival of a packet. If the
  /// flow does not exist and \p answer_reset is set, sends a RESET.
  Flow* FindFlow(const Envelope& envelope,
                 SocketAddress balancer,
                 const FlowToken& token,
                 bool answer_reset);
  void OnRequest(Flow* flow, const RequestMessage& message);
  void AdmitRequest(Flow* flow, const RequestMessage& message);
  /// Reason to refuse a new request, or nothing if it is admitted.
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
  /// Sends the response parts that the window allows and that have not been
  /// sent yet.
  void SendNewParts(Flow* flow, ActiveRequest* request);
  void SendParts(const Flow& flow,
                 const ActiveRequest& request,
                 const std::vector<std::uint32_t>& indices);

  // Request outcomes, in agentcorecaller.cpp. Each removes the request.
  void Refuse(Flow* flow, ActiveRequest* request, RefusalReason reason);
  void ReportUnknown(Flow* flow, ActiveRequest* request);
  /// Refuses a request, or reports its outcome as unknown if an attempt may
  /// have run.
  void Abandon(Flow* flow, ActiveRequest* request, RefusalReason reason);
  void Finish(Flow* flow, ActiveRequest* request);
  void Remove(Flow* flow, ActiveRequest* request);
  /// Abandons all requests that are not at the upstream, except feeds that wait
  /// to be resumed.
  void AbandonUnsent(RefusalReason reason);
  void CloseFlow(Flow* flow);

  // Upstream side, in agentcoreupstream.cpp.

  /// Whether the lease, the configuration and the state of the zone permit any
  /// contact with the upstream.
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
  /// Sends the assigned requests of a flow if its connection is working;
  /// requests a connection if the flow has none.
  void SendAssigned(Flow* flow);
  void SendRequest(Flow* flow, ActiveRequest* request);
  void OnFlowMessage(Flow* flow, const UpstreamMessage& message);
  void OnPart(Flow* flow, ActiveRequest* request, const UpstreamPart& part);
  void OnEvent(Flow* flow, ActiveRequest* request, const UpstreamEvent& event);
  void OnShed(Flow* flow, ActiveRequest* request);
  void OnCancelled(Flow* flow, ActiveRequest* request, bool started);
  /// Sends a cancel for a running request and marks it as abandoned.
  void CancelRunning(Flow* flow, ActiveRequest* request, RefusalReason reason);
  /// Cancels the subscription of a feed at the upstream. It is resumed after
  /// \p wait, from the last event received. With a wait of Duration::max() it
  /// is resumed once the caller has acknowledged all buffered events.
  void SuspendFeed(Flow* flow, ActiveRequest* request, Duration wait);
  void OnConnectionLost(Flow* flow, bool silent);
  void OnRequestLost(Flow* flow, ActiveRequest* request, bool silent);
  /// Counts one more attempt and returns true if the attempt limit and the
  /// retry budget allow it.
  bool TryRetry(ActiveRequest* request);
  /// Sends a cancel on the control connection for a request whose connection
  /// was lost. The answer states whether the request had started.
  void SendOutcomeQuery(std::uint64_t number);
  /// Cancels a request on the control connection. Its slot stays in use until
  /// the upstream confirms the cancel, or until kOrphanTimeout passes without
  /// an answer on a working control connection.
  void CancelOrphan(ActiveRequest* request);
  void ReleaseSlot(ActiveRequest* request);
  void RemoveConnection(const UpstreamConnection& connection);

  // Lease, configuration, timers and drain, in agentcore.cpp.
  void CheckLease();
  void ProcessZoneOut();
  void ProcessTimers();
  void ProcessFlowTimer(Flow* flow);
  void ProcessRequestTimer(Flow* flow, ActiveRequest* request);
  void CheckConnection(Flow* flow);
  void SendHandovers();
  void ProcessDrain();
  void ProcessOutage();
  /// Whether there has been no working control connection for kOutageThreshold.
  bool IsOutage() const;
  void ExpireOrphans();
  TimePoint NextDue(const Flow& flow) const;
  void Reschedule(Flow* flow);
  TargetState ComputeState() const;
  void UpdateGauges();

  /// A flow is closed if no packet with its token arrives within this time. A
  /// repeated OPEN is recognized for as long.
  static constexpr std::chrono::milliseconds kUnconfirmedFlowTimeout{5000};
  /// A flow is closed if no packet arrives for this time. Also bounds how long
  /// the end of a feed waits for its ACK.
  static constexpr std::chrono::milliseconds kIdleFlowTimeout{60000};
  /// Time after a zone is set out during which responses are still delivered;
  /// then all flows are reset and closed.
  static constexpr std::chrono::milliseconds kZoneOutGrace{2000};
  static constexpr std::chrono::milliseconds kHandoverInterval{1000};
  static constexpr std::chrono::milliseconds kStopTimeout{30000};
  /// Time without a working control connection after which the agent sends
  /// HANDOVER to callers and refuses new requests.
  static constexpr std::chrono::milliseconds kOutageThreshold{2000};
  static constexpr std::chrono::milliseconds kConnectTimeout{2000};
  /// Wait for the answer to a cancel on the connection of the flow.
  static constexpr std::chrono::milliseconds kCancelTimeout{1000};
  /// Wait for the answer to a cancel on the control connection; longer than the
  /// time to detect that this connection is silent.
  static constexpr std::chrono::milliseconds kOrphanTimeout{2000};
  /// Wait for the answer to an outcome query; covers the time to detect a
  /// silent control connection, open another one and repeat the query.
  static constexpr std::chrono::milliseconds kOutcomeQueryTimeout{5000};
  /// Backoff after overload is this value times the number of attempts.
  static constexpr std::chrono::milliseconds kRetryBackoff{100};
  /// Wait after a connection of a flow was closed before the upstream sent its
  /// hello on it.
  static constexpr std::chrono::milliseconds kReconnectBackoff{100};
  /// Wait before a feed is resumed after a gap in its events or overload.
  static constexpr std::chrono::milliseconds kFeedRetryDelay{500};
  /// An interval between ticks above this means that the process was paused.
  static constexpr std::chrono::milliseconds kPauseThreshold{500};
  /// Limits the time budget of a request, and thereby how long a response
  /// without ACK is kept.
  static constexpr std::chrono::milliseconds kMaxRequestBudget{600000};
  static constexpr std::size_t kMaxActiveRequests = RequestLedger::kWindow;
  static constexpr int kMaxAttempts = 3;
  static constexpr double kRetryShare = 0.1;
  /// Permits retries to an upstream with little traffic.
  static constexpr double kRetriesPerSecond = 1.0;

  /// The request that an outcome query is about.
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
  /// When the lease was last regained. Flow timeouts start no earlier than this
  /// because packets from callers are dropped while there is no lease.
  TimePoint m_lease_regained{};
  TimePoint m_last_tick;
  /// When the process last resumed from a pause; connection timeouts start no
  /// earlier than this.
  TimePoint m_resumed{};

  Revision m_revision{};
  std::optional<TargetSettings> m_settings;
  /// Whether the configuration in force contains the target.
  bool m_is_configured = false;
  /// Request kinds that the configuration declares non-idempotent: bit n is set
  /// for the kind with value n.
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
  /// No connection of a flow is opened before this time.
  TimePoint m_reconnect_at{};
  TimePoint m_next_handover{};
  std::optional<TimePoint> m_stop_deadline;

  std::uint64_t m_last_connection = 0;
  std::uint64_t m_last_number = 0;
  std::optional<std::uint64_t> m_start_identity;
  std::unordered_map<ConnectionId, FlowHandle> m_connections;
  /// Connections of flows on which the upstream has not sent its hello yet.
  std::uint32_t m_unverified = 0;
  /// Connections on which the upstream has sent its hello, including the
  /// control connection.
  std::uint32_t m_ready_connections = 0;
  /// Slots in use. No queued request is sent while this is at or above the
  /// request limit.
  std::uint32_t m_slots_in_use = 0;
  /// Pending outcome queries by request number.
  std::unordered_map<std::uint64_t, OutcomeQuery> m_outcome_queries;
  /// Orphaned requests: cancelled on the control connection and still holding a
  /// slot. Maps the request number to the time at which the slot is released.
  std::map<std::uint64_t, TimePoint> m_orphans;

  AgentStatistics m_statistics;
  /// Scratch buffer for part indices, kept to avoid allocations.
  std::vector<std::uint32_t> m_part_indices;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_AGENTCORE_H_
