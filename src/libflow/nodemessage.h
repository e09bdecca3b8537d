#ifndef FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_
#define FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"
#include "libflow/upstreamload.h"
#include "libsite/sharedchanges.h"

namespace fireflytrestle {

// Messages between the processes that handle flows whose packets carry no flow
// identifier. Each message is one datagram with one msgpack array. Spans and
// string views point into the datagram.

/// Balancer to agent: a caller's packet for the upstream.
struct DeliverMessage {
  /// Service to which the agent's upstream belongs according to the balancer.
  std::string_view service;
  /// The balancer does not know the owner of the flow; neither does the agent,
  /// whose upstream may hold it.
  bool search = false;
  FlowClass flow_class;
  std::span<const std::uint8_t> packet;
};

enum class ReturnReason : std::uint8_t {
  /// The upstream belongs to another service than the balancer assumes.
  kWrongService = 1,
  /// The upstream returned the SYN, or too many requests wait for its slots.
  kUpstreamFull,
  kUpstreamDraining,
  kUpstreamDown,
  /// The limit on new flows of a cold upstream is reached.
  kUpstreamCold,
  kZoneOut,
  /// The upstream resets too many of its requests.
  kUpstreamFailing,
  /// The agent is about to stop.
  kAgentStopping,
  kCount,
};

/// Returns the name in log lines and metrics.
const char* ToString(ReturnReason reason);

/// Agent to balancer: a SYN that the upstream did not accept.
struct ReturnMessage {
  ReturnReason reason = ReturnReason::kUpstreamFull;
  std::span<const std::uint8_t> packet;
};

/// Balancer to agent: asks whether the upstream holds a flow. The agent answers
/// with a report of the flow, or with FlowUnknownMessage. Balancer to balancer:
/// asks who holds it; the answer is FlowOwnerMessage or FlowUnknownMessage.
struct FlowQuery {
  FlowTuple tuple;
  /// Acknowledgment number of the caller's packet, which tells the flow from
  /// others on the same port.
  std::uint32_t acknowledgment = 0;
  /// The caller's packet is a reset, whose acknowledgment number tells nothing.
  bool is_reset = false;
};

/// Balancer to balancer: the agent that holds a flow according to the sender.
struct FlowOwnerMessage {
  FlowTuple tuple;
  SocketAddress agent;
};

/// Balancer to balancer: the reports of these agents are overdue at the sender.
/// Answered with StoppingAgents if one of them is about to stop.
struct OverdueAgents {
  std::vector<SocketAddress> agents;
};

/// An agent that has announced that it is about to stop.
struct StoppingAgent {
  SocketAddress address;
  Incarnation incarnation{};
};

/// Balancer to balancer: agents whose notice of a planned stop the sender has
/// received.
struct StoppingAgents {
  std::vector<StoppingAgent> agents;
};

/// Balancer to agent: the reports of the agent are overdue. The agent answers
/// with a report at once.
struct LivenessQuery {};

/// Agent to balancer: the upstream does not hold the flow of a packet or query.
/// Balancer to balancer: the sender knows no agent that holds it.
struct FlowUnknownMessage {
  FlowTuple tuple;
  /// False if the agent does not know the flow, but its upstream may hold it
  /// since before the agent's start. Only in answers to queries.
  bool is_certain = true;
  /// The upstream has got a packet of the flow a moment ago. Only in answers to
  /// queries.
  bool has_packet = false;
};

/// Balancer to agent: liveness, and the entry of the agent's upstream in the
/// balancer's view. Balancer to balancer, without an entry: the sender exists.
struct BalancerHeartbeat {
  Incarnation incarnation{};
  /// Revision of the upstream's entry from which the following fields come; 0
  /// if the view has no entry.
  Revision entry_revision{};
  bool draining = false;
  bool zone_out = false;
  /// Number of requests that the upstream processes at once.
  std::uint32_t slots = 0;
  /// Remaining time of the cold start when the heartbeat was sent; 0 for a warm
  /// upstream.
  std::chrono::milliseconds cold_left{0};
  /// Limit on new flows per second during the cold start, in thousandths; 0 for
  /// no limit.
  std::uint32_t cold_rate_milli = 0;
  /// Balancers that appeared recently, for an agent without an entry in the
  /// store: they cannot find it there.
  std::vector<SocketAddress> new_balancers;
  /// When the upstream started, by the clock of its instance; the epoch if its
  /// entry does not say.
  WallTime upstream_started{};
};

/// Balancer to agent: how often the balancer wants reports. Until one arrives,
/// the agent sends the balancer every report and every flow, as balancers of
/// earlier versions expect.
struct ReportRequest {
  /// Zone of the balancer; the agent reports flows whose packets come from this
  /// zone.
  std::string_view zone;
  /// Interval of regular reports; 0 for none.
  std::chrono::milliseconds interval{0};
  /// Service that the view has for the agent's address, and the revision of
  /// that entry; empty and 0 if the view has no entry, or from a balancer that
  /// does not send them.
  std::string_view service;
  Revision entry_revision{};
  /// The balancer reads AgentStatus::load; earlier versions reject reports that
  /// have it.
  bool wants_load = false;
};

enum class AgentPhase : std::uint8_t {
  kServing = 1,
  /// The upstream's process has ended.
  kUpstreamDown,
  /// The agent is about to stop, while its upstream continues.
  kStopping,
  kCount,
};

const char* ToString(AgentPhase phase);

/// A flow that an upstream holds.
struct ReportedFlow {
  FlowTuple tuple;
  /// Last acknowledgment number from the caller that the agent saw; the
  /// sequence number of a reset must be close to it.
  std::uint32_t acknowledgment = 0;
};

/// The flows that an upstream holds, for the next run of its agent. An agent
/// that is about to stop sends them to balancers, which send them back to its
/// next run. For an agent that ended without one, balancers send the flows that
/// were reported to them.
struct FlowHandover {
  std::string_view service;
  /// Run of the agent that has stopped; 0 if a balancer made the list.
  Incarnation incarnation{};
  /// Increases each time that the agent sends its flows.
  std::uint64_t round = 0;
  /// Number of this message and number of messages in the round.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  /// All parts together name every flow of the upstream.
  bool is_complete = false;
  std::vector<ReportedFlow> flows;
};

/// Agent to balancer: liveness, load, and flows that have opened.
struct AgentStatus {
  Incarnation incarnation{};
  std::string_view service;
  std::string_view zone;
  AgentPhase phase = AgentPhase::kServing;
  /// Requests that the upstream has not begun to answer, including those that
  /// are queued at the agent and those that opening flows are about to carry.
  std::uint32_t running = 0;
  /// Opening and open flows that callers keep for many requests.
  std::uint32_t long_flows = 0;
  /// Age of the oldest open flow. A flow that opened before the agent started
  /// counts with the flow lifetime.
  std::chrono::milliseconds oldest_flow{0};
  std::vector<ReportedFlow> opened;
  /// Balancers that appeared recently.
  std::vector<SocketAddress> new_balancers;
  /// Interval of the regular reports to the receiver, 0 if none follow; empty
  /// for a receiver that has sent no ReportRequest.
  std::optional<std::chrono::milliseconds> report_interval;
  /// Increases with each report of the agent's current run. Sent only together
  /// with \ref report_interval; 0 if unknown.
  std::uint64_t number = 0;
  /// The agent has started a moment ago and has got no FlowHandover.
  bool needs_handover = false;
  /// Sent only together with \ref report_interval; empty if the agent has no
  /// figures yet, or is of an earlier version.
  std::optional<UpstreamLoad> load;
};

using NodeMessage = std::variant<DeliverMessage,
                                 ReturnMessage,
                                 FlowUnknownMessage,
                                 BalancerHeartbeat,
                                 AgentStatus,
                                 SharedChanges,
                                 ReportRequest,
                                 FlowQuery,
                                 FlowHandover,
                                 LivenessQuery,
                                 FlowOwnerMessage,
                                 OverdueAgents,
                                 StoppingAgents>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_
