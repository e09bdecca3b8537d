#include "libflow/flowdecision.h"

namespace fireflytrestle {

const char* ToString(FlowDecision::Kind kind) {
  switch (kind) {
    case FlowDecision::Kind::kPlaced:
      return "flow_placed";
    case FlowDecision::Kind::kPlacedAgain:
      return "flow_placed_again";
    case FlowDecision::Kind::kSearched:
      return "flow_searched";
    case FlowDecision::Kind::kProbed:
      return "flow_probed";
    case FlowDecision::Kind::kFound:
      return "flow_found";
    case FlowDecision::Kind::kReset:
      return "flow_reset";
    case FlowDecision::Kind::kReturned:
      return "open_returned";
    case FlowDecision::Kind::kUnknownThere:
      return "flow_unknown";
    case FlowDecision::Kind::kUnconfirmed:
      return "packet_unconfirmed";
    case FlowDecision::Kind::kConfirmed:
      return "flow_confirmed";
    case FlowDecision::Kind::kPeerSilent:
      return "peer_silent";
    case FlowDecision::Kind::kPeerBack:
      return "peer_back";
    case FlowDecision::Kind::kPeerPhase:
      return "peer_phase";
    case FlowDecision::Kind::kDropped:
      return "packet_dropped";
    case FlowDecision::Kind::kHeld:
      return "packet_held";
    case FlowDecision::Kind::kReleased:
      return "request_released";
    case FlowDecision::Kind::kUnanswered:
      return "request_unanswered";
    case FlowDecision::Kind::kUpstreamFailing:
      return "upstream_failing";
    case FlowDecision::Kind::kCount:
      break;
  }
  return "unknown";
}

}  // namespace fireflytrestle
