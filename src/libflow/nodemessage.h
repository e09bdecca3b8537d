#ifndef FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_
#define FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"
#include "libsite/sharedchanges.h"

namespace fireflytrestle {

// Datagrams between the processes that carry flows without an identity, one
// msgpack array each. Views point into the datagram.

/// Balancer to agent: a caller's packet for the upstream.
struct DeliverMessage {
  /// Service that the balancer takes the agent's upstream to belong to.
  std::string_view service;
  /// The balancer does not know the owner of the flow and asks all agents of
  /// the service.
  bool search = false;
  FlowClass flow_class;
  std::span<const std::uint8_t> packet;
};

enum class ReturnReason : std::uint8_t {
  /// The upstream belongs to another service than the balancer takes it to.
  kWrongService = 1,
  /// The upstream handed a SYN back.
  kUpstreamFull,
  kUpstreamDraining,
  kUpstreamDown,
  /// The allowance of a cold upstream is used up.
  kUpstreamCold,
  kZoneOut,
  /// The upstream breaks its requests off.
  kUpstreamFailing,
  /// The agent is about to stop.
  kAgentStopping,
  kCount,
};

/// Returns the name in log lines and metrics.
const char* ToString(ReturnReason reason);

/// Agent to balancer: a SYN that the upstream did not take.
struct ReturnMessage {
  ReturnReason reason = ReturnReason::kUpstreamFull;
  std::span<const std::uint8_t> packet;
};

/// Agent to balancer: the upstream does not hold the flow of a packet.
struct FlowUnknownMessage {
  FlowTuple tuple;
};

/// Balancer to agent: liveness, and what the balancer's view says of the
/// agent's upstream.
struct BalancerHeartbeat {
  Incarnation incarnation{};
  /// Revision of the upstream's entry that the following fields stand for; 0
  /// if the view has none.
  Revision entry_revision{};
  bool draining = false;
  bool zone_out = false;
  /// Requests that the upstream works on at once.
  std::uint32_t slots = 0;
  /// Rest of the cold start when the heartbeat was sent; 0 for a warm one.
  std::chrono::milliseconds cold_left{0};
  /// Requests a second, in thousandths, that the upstream bears while cold; 0
  /// for no limit.
  std::uint32_t cold_rate_milli = 0;
  /// Balancers that appeared a moment ago, for an agent that the store no
  /// longer lists: they cannot find it themselves.
  std::vector<SocketAddress> new_balancers;
};

enum class AgentPhase : std::uint8_t {
  kServing = 1,
  /// The upstream does not answer.
  kUpstreamDown,
  /// The agent is about to stop, while its upstream goes on.
  kStopping,
  kCount,
};

const char* ToString(AgentPhase phase);

/// A flow that an upstream holds.
struct ReportedFlow {
  FlowTuple tuple;
  /// Last acknowledgment of the caller that the agent saw; a reset of the flow
  /// must lie near it.
  std::uint32_t acknowledgment = 0;
};

/// Agent to balancer: liveness, load, and flows that have opened.
struct AgentStatus {
  Incarnation incarnation{};
  std::string_view service;
  std::string_view zone;
  AgentPhase phase = AgentPhase::kServing;
  /// Requests that the upstream has and has not begun to answer.
  std::uint32_t running = 0;
  /// Open flows that callers keep for many requests.
  std::uint32_t long_flows = 0;
  /// Age of the oldest open flow; of one that opened before the agent started,
  /// the greatest age of a flow.
  std::chrono::milliseconds oldest_flow{0};
  std::vector<ReportedFlow> opened;
  /// Balancers that appeared a moment ago.
  std::vector<SocketAddress> new_balancers;
};

using NodeMessage = std::variant<DeliverMessage,
                                 ReturnMessage,
                                 FlowUnknownMessage,
                                 BalancerHeartbeat,
                                 AgentStatus,
                                 SharedChanges>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_NODEMESSAGE_H_
