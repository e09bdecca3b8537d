#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWROUTER_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWROUTER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "libbase/retrybudget.h"
#include "libbase/tokenbucket.h"
#include "libflow/agentfailuredetector.h"
#include "libflow/agentsubscriptions.h"
#include "libflow/agenttable.h"
#include "libflow/flowdecision.h"
#include "libflow/flowlossdetector.h"
#include "libflow/flowownertable.h"
#include "libflow/handoverstore.h"
#include "libflow/heartbeatscheduler.h"
#include "libflow/peerbalancertable.h"
#include "libflow/pendingpacketqueue.h"

namespace fireflytrestle {

class FlowOutput;
class PacketCodec;
struct FlowPacket;
struct RouteSettings;

/// \brief Routes packets at a balancer for flows whose packets carry no flow
/// identifier.
///
/// New flows go to the agent with the least load. Packets of open flows go to
/// their owner, the agent whose upstream holds the flow; it is known from the
/// placement or from reports of the agents. If it is unknown, the agents are
/// asked for the flow, and the packet waits for the owner. The adapter calls
/// OnTick() every 50 ms.
class FlowRouter {
 public:
  struct Settings {
    Incarnation incarnation{};
    std::string zone;
    /// Port at which every agent receives messages from balancers.
    std::uint16_t agent_port = 0;
    /// Minimum time without packets after which a flow is removed.
    std::chrono::milliseconds flow_lifetime{60000};
    /// Limit on the bytes per second of searches for owners; each search sends
    /// a query to every agent of a service.
    std::uint64_t search_bytes_per_second = 62'500'000;
  };

  /// \p codec and \p output must outlive the router.
  FlowRouter(Settings settings,
             const PacketCodec& codec,
             FlowOutput* output,
             TimePoint now);

  void InstallView(std::shared_ptr<const SiteView> view, TimePoint now);

  /// Records that the store confirmed the view as of \p at.
  void ConfirmView(TimePoint at) { m_loss_detector.ConfirmView(at); }

  /// Handles a packet from a caller.
  void OnCallerPacket(std::span<const std::uint8_t> datagram, TimePoint now);

  /// Handles a message from the agent at \p source.
  void OnNodeMessage(const SocketAddress& source,
                     const NodeMessage& message,
                     TimePoint now);

  void OnTick(TimePoint now);

  const AgentTable& agents() const { return m_agents; }
  std::size_t flow_count() const { return m_flows.size(); }
  /// Whether routers should send packets of callers to this balancer. A
  /// balancer that gets reports from fewer than half of the agents is likely
  /// cut off from the network, and routers should use another one.
  bool IsServing() const;

 private:
  void OnOpening(const FlowPacket& packet,
                 const FlowTuple& tuple,
                 std::span<const std::uint8_t> datagram,
                 TimePoint now);
  void OnFlowPacket(const FlowPacket& packet,
                    const FlowTuple& tuple,
                    std::span<const std::uint8_t> datagram,
                    TimePoint now);
  /// Returns the least loaded agent of the service that has not received the
  /// SYN yet: one of the subset whose load is known, else any other; null if
  /// there is none.
  AgentPeerPtr SelectUntriedAgent(const std::string& service,
                                  const FlowTuple& tuple,
                                  const FlowEntry& entry,
                                  TimePoint now) const;
  /// Sends the SYN to the agent that SelectUntriedAgent() returns.
  void Place(const FlowTuple& tuple,
             FlowEntry* entry,
             std::span<const std::uint8_t> datagram,
             TimePoint now);
  /// Resets a flow that cannot be opened here; drops its SYN if the flow may
  /// have opened through another balancer.
  void RefuseOpening(const FlowTuple& tuple,
                     bool may_have_opened,
                     const char* reason,
                     TimePoint now);
  /// Ends the placement of a flow that no further agent can get: resets the
  /// flow, unless an agent that has its SYN may still answer.
  void FailPlacement(const FlowTuple& tuple,
                     FlowEntry* entry,
                     const char* reason,
                     TimePoint now);
  /// Handles a packet of an unknown flow: queries the agents of the route's
  /// services for the owner, those of the own zone first, where most flows are.
  /// Resets the flow if the configuration has dropped its route.
  void StartSearch(const FlowPacket& packet,
                   const FlowTuple& tuple,
                   std::span<const std::uint8_t> datagram,
                   TimePoint now);
  /// Returns a new entry for a flow of \p route; null if the table is full.
  FlowEntry* AddEntry(const FlowPacket& packet,
                      const FlowTuple& tuple,
                      const RouteSettings& route,
                      TimePoint now);
  /// Returns all agents but those in \p excluded.
  std::vector<AgentPeerPtr> AgentsWithout(
      const std::vector<AgentPeerPtr>& excluded) const;
  /// Keeps the packet for the owner that a search finds. A packet with data is
  /// not replaced by one without.
  void HoldPacket(std::span<const std::uint8_t> datagram,
                  const FlowPacket& packet,
                  FlowEntry* entry) const;
  /// Asks \p agents for the flow, if the bandwidth limit of searches allows it.
  /// Returns whether it does. After an outage they get the packet itself: most
  /// of them could not answer a query.
  bool AskAgents(const FlowTuple& tuple,
                 const std::vector<AgentPeerPtr>& agents,
                 FlowEntry* entry,
                 TimePoint now);
  /// Sends the packet of the search to an agent that may hold the flow.
  void SendSearchPacket(const AgentPeerPtr& agent, FlowEntry* entry);
  /// Queries the agents of the route's services, in a large service those of
  /// the own zone first, and last all other agents: the flow may have opened
  /// under a configuration in which the route had another service.
  void QueryAgents(const FlowPacket& packet,
                   const FlowTuple& tuple,
                   FlowEntry* entry,
                   TimePoint now);
  /// Whether every agent whose upstream may hold a flow has answered its query
  /// or is lost.
  bool AreAllAgentsPresent(const FlowEntry& entry, TimePoint now) const;
  /// Whether an answer of the agent need not be waited for.
  bool IsLost(const AgentPeer& agent, TimePoint now) const;
  /// Sends the packet to unsure agents, if no other agent's upstream may hold
  /// the flow, the other balancers have been asked for the owner, and few
  /// enough upstreams get it that do not hold the flow.
  void ProbeUnsureAgents(const FlowTuple& tuple,
                         FlowEntry* entry,
                         TimePoint now);
  /// Ends the deferred searches that have waited long enough, or that have room
  /// among the first searches: the flow is lost, or agents are queried.
  void EndDeferredSearches(TimePoint now);
  /// Returns how many deferred searches may begin before it is known whether
  /// all flows are lost.
  std::size_t RoomForSearches() const;
  /// Begins the next stage of a search, if there is one. Returns false if the
  /// bandwidth limit does not allow it and the flow was removed.
  bool QueryNextStage(const FlowTuple& tuple, FlowEntry* entry, TimePoint now);
  /// Begins the next stage of the searches whose present one takes too long.
  void AdvanceSearches(TimePoint now);
  /// Ends a search that no agent is left to answer, or begins its next stage.
  /// Returns whether it ended and the flow was removed.
  bool TryEndSearch(const FlowTuple& tuple, FlowEntry* entry, TimePoint now);
  /// Whether no other balancer knows an agent that may hold the flow and that
  /// has not answered here; asks them. A flow at an upstream that this balancer
  /// has not heard of was placed by another one.
  bool HavePeersConfirmedLoss(const FlowTuple& tuple,
                              FlowEntry* entry,
                              TimePoint now);
  /// Removes a flow whose search the bandwidth limit does not allow.
  void AbandonSearch(const FlowTuple& tuple,
                     std::uint32_t acknowledgment,
                     TimePoint now);
  /// Forwards a packet to the agent that holds the flow or gets its SYN.
  void Deliver(const FlowEntry& entry,
               std::span<const std::uint8_t> datagram,
               TimePoint now);
  void Reset(const FlowTuple& tuple,
             std::uint32_t sequence,
             const char* reason,
             const AgentPeer* agent,
             TimePoint now);
  void Report(FlowDecision::Kind kind,
              const FlowTuple& tuple,
              const AgentPeer* agent,
              const char* reason,
              TimePoint now);

  void OnReturn(const SocketAddress& source,
                const ReturnMessage& message,
                TimePoint now);
  void OnStatus(const SocketAddress& source,
                const AgentStatus& status,
                TimePoint now);
  /// Keeps the flows of an agent that is about to stop.
  void OnHandover(const SocketAddress& source,
                  const FlowHandover& handover,
                  TimePoint now);
  /// Sends an agent the flows of its previous run: those that this run handed
  /// over, else, once for each run, those whose owner it is here.
  void ReturnFlows(const AgentPeerPtr& agent,
                   const AgentStatus& status,
                   bool is_new_run);
  /// Asks an agent that has become known for the flows that are searched for.
  void AskInSearches(const AgentPeerPtr& agent, TimePoint now);
  /// Asks an agent again that did not know whether it holds the flows that are
  /// searched for.
  void AskAgain(const AgentPeerPtr& agent, TimePoint now);
  /// Returns those of \p flows that are unknown or searched for.
  std::vector<ReportedFlow> WithoutKnown(std::vector<ReportedFlow> flows);
  /// Records that the agent's upstream holds the flows.
  void ApplyReportedFlows(const AgentPeerPtr& agent,
                          const std::vector<ReportedFlow>& flows,
                          TimePoint now);
  void OnFlowUnknown(const SocketAddress& source,
                     const FlowUnknownMessage& message,
                     TimePoint now);
  /// Repeats the queries to balancers that have not answered, and ends the
  /// searches that wait for none any more.
  void AdvancePeerSearches(TimePoint now);
  /// Answers another balancer that searches for the owner of a flow.
  void OnPeerQuery(const SocketAddress& source,
                   const FlowQuery& query,
                   TimePoint now);
  void OnFlowOwner(const SocketAddress& source,
                   const FlowOwnerMessage& message,
                   TimePoint now);
  /// Asks other balancers whether the agents whose reports are overdue are
  /// about to stop: the notices may have been lost on the way to this one only.
  void AskPeersAboutOverdue();
  void OnPeerOverdue(const SocketAddress& source, const OverdueAgents& message);
  void OnStoppingAgents(const StoppingAgents& message, TimePoint now);
  /// Ends a search for which no other balancer is left to answer.
  void OnPeerWithoutOwner(const SocketAddress& source,
                          const FlowTuple& tuple,
                          TimePoint now);
  /// Resets the open idempotent flows of the agent whose packets came through
  /// this balancer, and ends searches that no other agent is left to answer.
  void OnAgentSilent(const AgentPeerPtr& agent, TimePoint now);
  /// Whether packets can be routed: a view is installed, and the agents have
  /// sent their first reports or the time for these has passed.
  bool CanRoute(TimePoint now) const;
  /// Routes the queued packets once packets can be routed.
  void ProcessPendingPackets(TimePoint now);

  Settings m_settings;
  const PacketCodec& m_codec;
  FlowOutput* m_output;
  std::shared_ptr<const SiteView> m_view;
  AgentTable m_agents;
  AgentSubscriptions m_subscriptions;
  HeartbeatScheduler m_heartbeats;
  PeerBalancerTable m_peers;
  FlowLossDetector m_loss_detector;
  FlowOwnerTable m_flows;
  HandoverStore m_handovers;
  AgentFailureDetector m_failure_detector;
  PendingPacketQueue m_pending_packets;
  bool m_can_route = false;
  RetryBudget m_retry_budget;
  TokenBucket m_search_bytes;
  /// Searches that have a further stage.
  std::vector<FlowTuple> m_staged_searches;
  std::vector<FlowTuple> m_deferred_searches;
  /// Searches that have asked other balancers.
  std::vector<FlowTuple> m_peer_searches;
  TimePoint m_next_sweep;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWROUTER_H_
