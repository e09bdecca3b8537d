#ifndef FIREFLYTRESTLE_LIBWIRE_AGENTSTATUS_H_
#define FIREFLYTRESTLE_LIBWIRE_AGENTSTATUS_H_

#include <cstdint>

#include "libbase/ids.h"

namespace fireflytrestle {

/// \brief Availability of a target for new flows.
enum class TargetState : std::uint8_t {
  kWarm = 1,
  kCold = 2,
  kFull = 3,
  kDraining = 4,
  kOut = 5,
  kUnavailable = 6
};

/// Returns the name of the state in metrics and in the state dump, such as
/// "warm".
const char* ToString(TargetState state);

/// \brief Status of an agent's target, reported to balancers with each packet
/// that the agent returns.
struct AgentStatus {
  TargetId target{};
  TargetState state = TargetState::kWarm;
  std::uint32_t open_flows = 0;
  /// Revision of the configuration in effect in the agent.
  Revision revision{};

  bool operator==(const AgentStatus&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_AGENTSTATUS_H_
