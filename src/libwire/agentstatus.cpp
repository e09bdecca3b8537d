#include "libwire/agentstatus.h"

namespace fireflytrestle {

const char* ToString(TargetState state) {
  switch (state) {
    case TargetState::kWarm:
      return "warm";
    case TargetState::kCold:
      return "cold";
    case TargetState::kFull:
      return "full";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kOut:
      return "out";
    case TargetState::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

}  // namespace fireflytrestle
