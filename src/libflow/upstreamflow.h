#ifndef FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_
#define FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_

#include <cstdint>
#include <unordered_map>

#include "libbase/clock.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief What an agent knows of one flow of its upstream.
struct UpstreamFlow {
  enum class State : std::uint8_t {
    /// The upstream has the SYN; other upstreams may have it too.
    kOpening,
    /// A packet went to the upstream, which may not hold the flow.
    kUnconfirmed,
    kOpen,
    /// One end has sent its FIN or a reset.
    kClosing,
  };

  State state = State::kOpening;
  FlowClass flow_class;
  /// The upstream has answered the SYN with \ref upstream_sequence.
  bool answered = false;
  /// A request is with the upstream, which has not begun to answer it.
  bool running = false;
  /// When that request went to the upstream.
  TimePoint delivered{};
  std::uint32_t syn_sequence = 0;
  std::uint32_t upstream_sequence = 0;
  /// Highest sequence number of data that the caller sent.
  std::uint32_t data_sequence = 0;
  /// Last acknowledgment of the caller.
  std::uint32_t acknowledgment = 0;
  /// Balancer that sent the last packet.
  SocketAddress balancer;
  TimePoint opened{};
  TimePoint last_packet{};
};

using UpstreamFlowTable =
    std::unordered_map<FlowTuple, UpstreamFlow, FlowTupleHash>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_UPSTREAMFLOW_H_
