#ifndef FIREFLYTRESTLE_LIBROUTING_ROUTEDECISION_H_
#define FIREFLYTRESTLE_LIBROUTING_ROUTEDECISION_H_

#include <optional>

#include "libbase/socketaddress.h"
#include "librouting/dropreason.h"
#include "libwire/envelope.h"

namespace fireflytrestle {

/// \brief What a balancer does with one datagram.
struct RouteDecision {
  enum class Action {
    kDrop,
    /// Send \ref envelope to \ref agent.
    kForward,
    /// Send \ref envelope to the fabric, which delivers it to the caller.
    kReturn,
  };

  Action action = Action::kDrop;
  /// Only valid for kDrop.
  DropReason reason = DropReason::kMalformed;
  /// Only valid for kForward.
  SocketAddress agent;
  /// Optional, for kForward only: also send \ref envelope to this agent, which
  /// has not answered recently, to detect whether it answers again.
  std::optional<SocketAddress> probe;
  /// The payload points into the datagram that was passed to the router, or
  /// into the router's own buffer, which the next call overwrites.
  Envelope envelope;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_ROUTEDECISION_H_
