#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "libflow/balancertable.h"
#include "libflow/coldstartlimiter.h"
#include "libflow/flowdecision.h"
#include "libflow/nodemessage.h"
#include "libflow/pendingrequestqueue.h"
#include "libflow/upstreamflow.h"
#include "libflow/upstreamhealth.h"

namespace fireflytrestle {

class FlowOutput;
class PacketCodec;
struct FlowPacket;

/// \brief Decisions of an agent on the flows of the upstream beside it.
///
/// The upstream knows its flows; the agent learns them from the packets that
/// pass, tells the balancers, and admits new ones only while the upstream may
/// get them. The adapter calls OnTick() every 50 ms.
class FlowTracker {
 public:
  struct Settings {
    Incarnation incarnation{};
    std::string service;
    std::string zone;
    /// Balancers to report to until a heartbeat of one arrives.
    std::vector<SocketAddress> seeds;
    /// A flow may be forgotten at this age.
    std::chrono::milliseconds flow_lifetime{60000};
  };

  /// \p codec and \p output must outlive the keeper.
  FlowTracker(Settings settings,
              const PacketCodec& codec,
              FlowOutput* output,
              TimePoint now);

  /// Takes a message of the balancer at \p source.
  void OnNodeMessage(const SocketAddress& source,
                     const NodeMessage& message,
                     TimePoint now);

  /// Takes a packet that the upstream sent or handed back; the latter is made
  /// ready for another upstream in place.
  void OnUpstreamPacket(std::span<std::uint8_t> datagram, TimePoint now);

  /// The upstream's process is gone, and with it all its flows.
  void OnUpstreamDown(TimePoint now);
  void OnUpstreamUp(TimePoint now);

  /// The agent is about to stop while its upstream goes on: balancers keep the
  /// flows and place no new ones.
  void BeginStop(TimePoint now);

  void OnTick(TimePoint now);

  std::size_t flow_count() const { return m_flows.size(); }
  /// Requests that the upstream has and has not begun to answer.
  std::uint32_t running() const { return m_running; }
  /// Requests that wait for a slot of the upstream.
  std::size_t waiting() const { return m_pending_requests.size(); }
  AgentPhase phase() const { return m_phase; }

 private:
  void On(const SocketAddress& source,
          const DeliverMessage& message,
          TimePoint now);
  void On(const SocketAddress& source,
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
  /// Delivers or holds a packet with new data of the caller.
  void OnRequestData(const DeliverMessage& message,
                     const FlowPacket& packet,
                     const FlowTuple& tuple,
                     UpstreamFlow* flow,
                     TimePoint now);
  /// Sends a report now or as soon as one may follow the last.
  void SendStatusSoon(TimePoint now);
  void StartRequest(UpstreamFlow* flow, TimePoint now);
  void EndRequest(UpstreamFlow* flow);
  /// The upstream broke the flow off.
  void OnUpstreamReset(const FlowTuple& tuple,
                       const UpstreamFlow& flow,
                       TimePoint now);
  void EraseFlow(UpstreamFlowTable::iterator position);
  /// Delivers requests that waited for a slot.
  void ReleaseRequests(TimePoint now);
  /// Resets flows whose callers have given up waiting.
  void ExpireRequests(TimePoint now);
  void OnBouncedPacket(const FlowPacket& packet,
                       std::span<std::uint8_t> datagram,
                       TimePoint now);
  void SendReturn(const SocketAddress& balancer,
                  ReturnReason reason,
                  const FlowTuple& tuple,
                  std::span<const std::uint8_t> packet);
  void SendUnknown(const SocketAddress& balancer,
                   const FlowTuple& tuple,
                   const char* reason);
  /// Returns why the upstream gets no new flow; kCount if it may.
  ReturnReason RejectReason(TimePoint now) const;
  void MarkOpen(const FlowTuple& tuple, UpstreamFlow* flow);
  void Reset(const FlowTuple& tuple,
             const UpstreamFlow& flow,
             const char* reason);
  void Report(FlowDecision::Kind kind,
              const FlowTuple& tuple,
              const SocketAddress& peer,
              const char* reason) const;
  void SetPhase(AgentPhase phase, TimePoint now);
  /// The greatest age for a flow whose opening the agent has not seen.
  std::chrono::milliseconds AgeOf(const UpstreamFlow& flow,
                                  TimePoint now) const;
  AgentStatus MakeStatus(TimePoint now) const;
  void SendStatus(TimePoint now);
  void SendAllFlows(const SocketAddress& balancer, TimePoint now);
  /// Takes what the balancer's view says of the upstream, if it is not older
  /// than what is known.
  void OnUpstreamEntry(const SocketAddress& source,
                       const BalancerHeartbeat& heartbeat,
                       TimePoint now);
  void Sweep(TimePoint now);

  Settings m_settings;
  const PacketCodec& m_codec;
  FlowOutput* m_output;
  AgentPhase m_phase = AgentPhase::kServing;
  UpstreamFlowTable m_flows;
  /// Flows to name in the next status.
  std::vector<ReportedFlow> m_opened;
  BalancerTable m_balancers;
  Revision m_entry_revision{};
  bool m_draining = false;
  ColdStartLimiter m_cold_start;
  PendingRequestQueue m_pending_requests;
  UpstreamHealth m_health;
  /// Flows with \ref UpstreamFlow::running.
  std::uint32_t m_running = 0;
  TimePoint m_next_status;
  TimePoint m_last_status{};
  std::uint32_t m_placed_since_status = 0;
  TimePoint m_next_sweep;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWTRACKER_H_
