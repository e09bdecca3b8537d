#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief One decision of a balancer or an agent that touches a flow, or that
/// changes what the process believes of a peer; for log lines and counters.
struct FlowDecision {
  enum class Kind : std::uint8_t {
    /// A new flow was sent to an agent.
    kPlaced,
    /// A new flow went to a further agent: the one before did not answer or
    /// did not take it.
    kPlacedAgain,
    /// The owner of a flow is not known; all agents of its service are asked.
    kSearched,
    /// An agent turned out to hold a flow.
    kFound,
    /// The caller got a reset; the reason says why.
    kReset,
    /// An agent handed a SYN back.
    kReturned,
    /// The upstream of an agent does not hold the flow.
    kUnknownThere,
    /// An agent or its upstream stopped or resumed answering.
    kPeerSilent,
    kPeerBack,
    kPeerPhase,
    kDropped,
    /// A packet waits for what is needed to decide on it.
    kHeld,
    /// A request that waited went to the upstream.
    kReleased,
    /// An upstream has not begun to answer a request for long.
    kUnanswered,
    /// An upstream breaks off so many requests that it gets trial flows only.
    kUpstreamFailing,
    kCount,
  };

  Kind kind = Kind::kPlaced;
  FlowTuple tuple;
  /// Agent or balancer concerned; zero if none.
  SocketAddress peer;
  /// Literal.
  const char* reason = "";
  /// Service of the flow; may point into the caller's data.
  std::string_view service;
  /// Requests that the peer's upstream had by its last report, and the age of
  /// that report.
  std::uint32_t running = 0;
  std::chrono::milliseconds report_age{0};
  /// How long the packet had waited.
  std::chrono::milliseconds waited{0};
  /// Version of the configuration that decided.
  std::uint64_t configuration_version = 0;
};

inline constexpr std::size_t kFlowDecisionKinds =
    static_cast<std::size_t>(FlowDecision::Kind::kCount);

/// Returns the name in log lines and metrics.
const char* ToString(FlowDecision::Kind kind);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWDECISION_H_
