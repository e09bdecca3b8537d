#ifndef FIREFLYTRESTLE_AGENT_AGENTSNAPSHOT_H_
#define FIREFLYTRESTLE_AGENT_AGENTSNAPSHOT_H_

#include <cstdint>

#include "libagent/agentstatistics.h"
#include "libnet/callermessagecounters.h"

namespace fireflytrestle {

/// \brief Copy of the counters and gauges of an agent's traffic thread.
struct AgentSnapshot {
  AgentStatistics statistics;
  CallerMessageCounters received;
  CallerMessageCounters sent;
  std::uint64_t upstream_connections = 0;
  std::uint64_t upstream_malformed = 0;
  /// Datagrams dropped because the view lease expired before sending.
  std::uint64_t unsent_lease_expired = 0;
  std::uint64_t send_failures = 0;
  std::uint64_t oversized = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_AGENTSNAPSHOT_H_
