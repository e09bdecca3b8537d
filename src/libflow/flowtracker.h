#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libflow/balancertable.h"
#include "libflow/coldstartlimiter.h"
#include "libflow/flowdecision.h"
#include "libflow/flowknowledge.h"
#include "libflow/nodemessage.h"
#include "libflow/pendingrequestqueue.h"
#include "libflow/recentwork.h"
#include "libflow/runningrequests.h"
#include "libflow/statusreporter.h"
#include "libflow/upstreamflow.h"
#include "libflow/upstreamhealth.h"

namespace fireflytrestle {

class FlowOutput;
class PacketCodec;
struct FlowPacket;

/// \brief Tracks the flows of the upstream beside an agent, and decides on
/// their packets.
///
/// The upstream owns the state of its flows. The agent derives its own table
/// from the packets that pass, reports open flows to the balancers, and admits
/// new flows only while the upstream may receive them. The adapter calls
/// OnTick() every 50 ms.
class FlowTracker {
 public:
  /// A change of the phase is repeated to all balancers for this long, in case
  /// a notice is lost. An agent that stops has to run until then.
  static constexpr std::chrono::milliseconds kNoticeTime{150};

  /// A longer time without a call means that the process was paused. Meanwhile
  /// the upstream may have ended, and its address may be in use by another one;
  /// this takes 2 s at least.
  static constexpr std::chrono::milliseconds kPauseThreshold{1000};
  /// Messages that arrived during a pause are read within this time after it.
  static constexpr std::chrono::milliseconds kBacklogTime{100};

  struct Settings {
    Incarnation incarnation{};
    std::string service;
    std::string zone;
    /// Balancers that get reports until the first heartbeat from any balancer
    /// arrives.
    std::vector<SocketAddress> seeds;
    /// An open flow is removed after this long without a packet. Also the
    /// assumed age of a flow whose opening the agent has not seen.
    std::chrono::milliseconds flow_lifetime{60000};
    /// No earlier run of the agent has sent a flow to the upstream.
    bool is_first_run = false;
    /// Time of day at which the process started; the epoch if it is not known.
    WallTime started{};
  };

  /// \p codec and \p output must outlive this object.
  FlowTracker(Settings settings,
              const PacketCodec& codec,
              FlowOutput* output,
              TimePoint now);

  /// Handles a message from the balancer at \p source.
  void OnNodeMessage(const SocketAddress& source,
                     const NodeMessage& message,
                     TimePoint now);

  /// Handles a packet that the upstream sent or returned. The bounce mark of a
  /// returned packet is removed in place, so that it can be sent to another
  /// upstream.
  void OnUpstreamPacket(std::span<std::uint8_t> datagram, TimePoint now);

  /// No process listens at the upstream's address yet, or any more: the
  /// upstream holds no flow of an earlier run of the agent.
  void OnUpstreamAbsent();

  /// The upstream's process has ended, and all its flows are lost.
  void OnUpstreamDown(TimePoint now);
  void OnUpstreamUp(TimePoint now);

  /// Announces to all known balancers that the agent is about to stop while its
  /// upstream continues: they keep the flows and place no new ones.
  void BeginStop(TimePoint now);

  void OnTick(TimePoint now);

  std::size_t flow_count() const { return m_flows.size(); }
  /// Requests that were sent to the upstream and that it has not begun to
  /// answer.
  std::uint32_t running() const { return m_running; }
  /// Requests that wait for a slot of the upstream.
  std::size_t waiting() const { return m_pending_requests.size(); }
  /// The same for each priority.
  std::array<std::uint32_t, kMaxPriority + 1> WaitingByPriority() const {
    return m_pending_requests.CountByPriority();
  }
  /// Returns the expected wait of a request behind all that are queued.
  Duration QueueWait(TimePoint now) const;
  /// Load and speed of the upstream; empty while they are not known.
  std::optional<UpstreamLoad> Load(TimePoint now) const;
  AgentPhase phase() const { return m_phase; }

 private:
  void OnDeliver(const SocketAddress& source,
                 const DeliverMessage& message,
                 TimePoint now);
  enum class Holding { kHeld, kNotHeld, kUnsure };

  void OnFlowQuery(const SocketAddress& source,
                   const FlowQuery& query,
                   TimePoint now);
  /// Returns whether the upstream holds the flow, as far as the agent knows.
  Holding HoldingOf(const FlowQuery& query, TimePoint now) const;
  /// Adds the flows that the upstream held before the agent started.
  void OnHandover(const SocketAddress& source,
                  const FlowHandover& handover,
                  TimePoint now);
  void SendHandover(TimePoint now);
  void OnHeartbeat(const SocketAddress& source,
                   const BalancerHeartbeat& heartbeat,
                   TimePoint now);
  void OnOpening(const SocketAddress& source,
                 const DeliverMessage& message,
                 const FlowPacket& packet,
                 const FlowTuple& tuple,
                 TimePoint now);
  void OnFlowPacket(const SocketAddress& source,
                    const DeliverMessage& message,
                    const FlowPacket& packet,
                    const FlowTuple& tuple,
                    TimePoint now);
  /// Forwards or queues a packet with data from the caller.
  void OnRequestData(const DeliverMessage& message,
                     const FlowPacket& packet,
                     const FlowTuple& tuple,
                     UpstreamFlow* flow,
                     TimePoint now);
  /// Sends a status now, or as soon as the minimum interval since the last one
  /// has passed.
  void SendStatusSoon(TimePoint now);
  void StartRequest(UpstreamFlow* flow, TimePoint now);
  /// Returns for how long the upstream has worked on the request, if known.
  std::optional<Duration> EndRequest(UpstreamFlow* flow);
  /// Records that the upstream failed \p count requests or opening flows.
  void OnFailures(int count,
                  const FlowTuple& tuple,
                  const SocketAddress& balancer,
                  const char* reason,
                  TimePoint now);
  /// Handles a reset from the upstream. It counts as a failure if a request was
  /// running or the flow was still opening.
  void OnUpstreamReset(const FlowTuple& tuple,
                       const UpstreamFlow& flow,
                       TimePoint now);
  void EraseFlow(UpstreamFlowTable::iterator position);
  /// Records that the upstream does not hold the flow. The record ends
  /// kClosingTimeout after the last packet, or with the next SYN.
  void MarkAbsent(UpstreamFlow* flow);
  /// Sends queued requests to the upstream while it has room for them.
  void ReleaseRequests(TimePoint now);
  /// Drops queued requests that cannot be answered before their callers'
  /// time-out.
  void ExpireRequests(TimePoint now);
  /// Handles a packet that the upstream returned.
  void OnBouncedPacket(const FlowPacket& packet,
                       std::span<std::uint8_t> datagram,
                       TimePoint now);
  /// Returns a SYN to the balancer that forwarded it.
  void SendReturn(const SocketAddress& balancer,
                  ReturnReason reason,
                  const FlowTuple& tuple,
                  std::span<const std::uint8_t> packet,
                  std::optional<std::uint8_t> priority = std::nullopt);
  /// Informs the balancer that the upstream does not hold the flow.
  void SendUnknown(const SocketAddress& balancer,
                   const FlowTuple& tuple,
                   const char* reason);
  /// Returns why the upstream may not get a new flow; kCount if it may.
  ReturnReason RejectReason(TimePoint now) const;
  /// Marks the flow as open and adds it to the next status.
  void MarkOpen(const FlowTuple& tuple, UpstreamFlow* flow);
  void Reset(const FlowTuple& tuple,
             const UpstreamFlow& flow,
             const char* reason);
  void Report(FlowDecision::Kind kind,
              const FlowTuple& tuple,
              const SocketAddress& peer,
              const char* reason,
              std::optional<std::uint8_t> priority = std::nullopt) const;
  void SetPhase(AgentPhase phase, TimePoint now);
  /// Tells all balancers the phase, and hands the flows over if the agent
  /// stops.
  void SendNotices(TimePoint now);
  /// Returns the age of the flow; the maximum if the agent has not seen it
  /// open.
  std::chrono::milliseconds AgeOf(const UpstreamFlow& flow,
                                  TimePoint now) const;
  AgentStatus MakeStatus(TimePoint now);
  void SendStatus(TimePoint now);
  void SendAllFlows(const SocketAddress& balancer, TimePoint now);
  /// Adds a balancer and reports to it, unless it is known.
  void Introduce(const SocketAddress& balancer, TimePoint now);
  void OnReportRequest(const SocketAddress& source,
                       const ReportRequest& request,
                       TimePoint now);
  /// Detects that the process was paused; called first for every event.
  void OnActivity(TimePoint now);
  /// Called when a balancer has sent its view.
  void ConfirmView(TimePoint now);
  /// Whether an entry of a newer revision than \p revision, or of the same,
  /// names another service than the agent's.
  bool IsOfOtherService(Revision revision) const;
  /// Applies the upstream's entry in the balancer's view, unless a newer
  /// revision has been applied.
  void OnUpstreamEntry(const SocketAddress& source,
                       const BalancerHeartbeat& heartbeat,
                       TimePoint now);
  /// Removes flows and balancers without recent messages, and ends requests
  /// that have been without an answer for too long.
  void Sweep(TimePoint now);

  Settings m_settings;
  const PacketCodec& m_codec;
  FlowOutput* m_output;
  AgentPhase m_phase = AgentPhase::kServing;
  TimePoint m_notices_until{};
  FlowKnowledge m_knowledge;
  std::uint64_t m_handover_round = 0;
  UpstreamFlowTable m_flows;
  BalancerTable m_balancers;
  StatusReporter m_reporter;
  Revision m_entry_revision{};
  /// Service that the store has for the agent's address, and the revision of
  /// that entry; empty before a balancer has named it.
  std::string m_listed_service;
  Revision m_listed_revision{};
  TimePoint m_last_activity{};
  TimePoint m_resumed{};
  /// A balancer has sent its view since the last pause.
  bool m_view_confirmed = true;
  bool m_draining = false;
  ColdStartLimiter m_cold_start;
  PendingRequestQueue m_pending_requests;
  UpstreamHealth m_health;
  RunningRequests m_running_requests;
  RecentWork m_recent_work;
  /// Flows with \ref UpstreamFlow::running.
  std::uint32_t m_running = 0;
  /// Short flows that were opening at the last status.
  std::uint32_t m_opening = 0;
  std::uint32_t m_placed_since_status = 0;
  TimePoint m_next_sweep;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_
