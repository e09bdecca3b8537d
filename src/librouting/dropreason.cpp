#include "librouting/dropreason.h"

namespace fireflytrestle {

const char* ToString(DropReason reason) {
  switch (reason) {
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kUnknownService:
      return "unknown_service";
    case DropReason::kInvalidFlowToken:
      return "invalid_flow_token";
    case DropReason::kWrongService:
      return "wrong_service";
    case DropReason::kZoneOut:
      return "zone_out";
    case DropReason::kViewNotConfirmed:
      return "view_not_confirmed";
    case DropReason::kUnexpectedKind:
      return "unexpected_kind";
    case DropReason::kCount:
      break;
  }
  return "unknown";
}

}  // namespace fireflytrestle
