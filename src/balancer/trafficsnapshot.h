#ifndef FIREFLYTRESTLE_BALANCER_TRAFFICSNAPSHOT_H_
#define FIREFLYTRESTLE_BALANCER_TRAFFICSNAPSHOT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "libbase/ids.h"
#include "libnet/callermessagecounters.h"
#include "librouting/dropreason.h"
#include "librouting/routerstatistics.h"

namespace fireflytrestle {

/// \brief Messages to and from the agents of one availability zone.
struct ZoneTraffic {
  CallerMessageCounters to_agents;
  CallerMessageCounters to_callers;
};

/// \brief Datagrams that a traffic thread dropped outside the router.
struct SocketLosses {
  /// Dropped because the view lease expired between decision and sending.
  std::uint64_t unsent_lease_expired = 0;
  std::uint64_t send_failures = 0;
  std::uint64_t oversized = 0;
};

/// \brief Copy of the counters and the state of one traffic thread.
struct TrafficSnapshot {
  RouterStatistics statistics;
  RouterSnapshot router;
  std::array<std::uint64_t, kDropReasonCount> drops{};
  SocketLosses losses;
  /// By zone of the agent. The entry without a zone counts messages that the
  /// balancer itself sends, and messages to and from agents that are not in the
  /// configuration.
  std::map<std::optional<ZoneId>, ZoneTraffic> zones;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_TRAFFICSNAPSHOT_H_
