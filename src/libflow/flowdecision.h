#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief One decision of a balancer or an agent that affects a flow or changes
/// the recorded state of a peer; reported in log lines and counters.
struct FlowDecision {
  enum class Kind : std::uint8_t {
    /// A balancer sent a new flow to an agent, or an agent sent one to its
    /// upstream.
    kPlaced,
    /// A new flow was sent to another agent, because the previous one did not
    /// answer or did not accept it.
    kPlacedAgain,
    /// The owner of a flow is unknown; the agents are asked for it.
    kSearched,
    /// The packet of such a flow was sent to an agent that does not know
    /// whether its upstream holds the flow.
    kProbed,
    /// An agent reported that its upstream holds a flow that was searched for.
    kFound,
    /// A reset was sent to the caller; the reason states why.
    kReset,
    /// An agent returned a SYN to the balancer.
    kReturned,
    /// The upstream of an agent does not hold the flow.
    kUnknownThere,
    /// An agent passed a packet of a flow to its upstream without knowing
    /// whether the upstream holds the flow.
    kUnconfirmed,
    /// The upstream answered in a flow that was unconfirmed: it holds the flow.
    kConfirmed,
    /// A peer stopped or resumed sending messages, or the phase of an agent or
    /// the entry of its upstream changed.
    kPeerSilent,
    kPeerBack,
    kPeerPhase,
    kDropped,
    /// A packet is queued until it can be routed, or until the upstream has a
    /// free slot.
    kHeld,
    /// A queued request was sent to the upstream.
    kReleased,
    /// An upstream has not begun to answer a request for too long.
    kUnanswered,
    /// An upstream resets so many requests, or leaves so many unanswered, that
    /// it gets only single flows as probes.
    kUpstreamFailing,
    kCount,
  };

  Kind kind = Kind::kPlaced;
  FlowTuple tuple;
  /// Agent or balancer concerned; zero if none.
  SocketAddress peer;
  /// String literal.
  const char* reason = "";
  /// Service of the flow; valid only while the decision is being reported.
  std::string_view service;
  /// Requests at the peer's upstream according to its last report, and the age
  /// of that report.
  std::uint32_t running = 0;
  std::chrono::milliseconds report_age{0};
  /// Phase of the peer, an agent, according to that report; string literal.
  const char* peer_phase = "";
  /// For how long reports have been requested from the peer; 0 if they are not.
  std::chrono::milliseconds requested_for{0};
  /// Time that the packet was queued.
  std::chrono::milliseconds waited{0};
  /// Priority of the request that was released or turned away; empty for other
  /// decisions.
  std::optional<std::uint8_t> priority;
  /// The released request is not expected to be answered within its latency
  /// objective.
  bool late = false;
  /// Version of the configuration that was in effect.
  std::uint64_t configuration_version = 0;
};

inline constexpr std::size_t kFlowDecisionKinds =
    static_cast<std::size_t>(FlowDecision::Kind::kCount);

/// Returns the name in log lines and metrics.
const char* ToString(FlowDecision::Kind kind);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_
