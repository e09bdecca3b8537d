#ifndef FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_
#define FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "libbase/clock.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief State of one flow of the upstream at its agent.
struct UpstreamFlow {
  enum class State : std::uint8_t {
    /// The SYN was sent to the upstream; other upstreams may have it, too.
    kOpening,
    /// A packet of a flow that the agent did not know has passed; the upstream
    /// may not hold the flow.
    kUnconfirmed,
    /// The upstream held the flow before the agent started, according to a
    /// handover; the agent has seen no packet of it from the upstream yet.
    kRestored,
    /// The upstream does not hold the flow: it has returned or reset one of its
    /// packets, with about the acknowledgment number \ref acknowledgment.
    kAbsent,
    kOpen,
    /// The caller or the upstream has sent a FIN or a reset.
    kClosing,
  };

  State state = State::kOpening;
  FlowClass flow_class;
  /// The upstream has answered the SYN with \ref upstream_sequence.
  bool answered = false;
  /// The upstream has returned a packet of the flow.
  bool has_returned = false;
  /// The caller has sent a FIN or a reset.
  bool caller_closed = false;
  /// A request was sent to the upstream, which has not begun to answer it.
  bool running = false;
  /// Its number in RunningRequests.
  std::uint64_t request = 0;
  /// When that request was sent to the upstream.
  TimePoint delivered{};
  std::uint32_t syn_sequence = 0;
  std::uint32_t upstream_sequence = 0;
  /// Sequence number after the caller's last data byte that was sent to the
  /// upstream.
  std::uint32_t data_sequence = 0;
  /// Sequence number after the last request that waited until its caller's
  /// time-out.
  std::optional<std::uint32_t> expired_sequence;
  /// Last acknowledgment number from the caller.
  std::uint32_t acknowledgment = 0;
  /// Balancer that forwarded the caller's last packet.
  SocketAddress balancer;
  TimePoint opened{};
  /// When the caller sent its first SYN, as far as the copy that opened the
  /// flow tells.
  TimePoint requested{};
  TimePoint last_packet{};
};

using UpstreamFlowTable =
    std::unordered_map<FlowTuple, UpstreamFlow, FlowTupleHash>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_
