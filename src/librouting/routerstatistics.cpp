#include "librouting/routerstatistics.h"

namespace fireflytrestle {

const char* ToString(Eligibility eligibility) {
  switch (eligibility) {
    case Eligibility::kProbeDue:
      return "probe_due";
    case Eligibility::kReady:
      return "ready";
    case Eligibility::kHeldOff:
      return "held_off";
    case Eligibility::kExcluded:
      return "excluded";
  }
  return "unknown";
}

}  // namespace fireflytrestle
