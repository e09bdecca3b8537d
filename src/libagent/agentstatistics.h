#ifndef FIREFLYTRESTLE_LIBAGENT_AGENTSTATISTICS_H_
#define FIREFLYTRESTLE_LIBAGENT_AGENTSTATISTICS_H_

#include <cstdint>

#include "libwire/agentstatus.h"

namespace fireflytrestle {

/// \brief Counters and gauges of an agent for metrics and the state dump.
struct AgentStatistics {
  TargetState state = TargetState::kCold;
  std::uint32_t open_flows = 0;
  std::uint32_t running_requests = 0;
  std::uint32_t queued_requests = 0;
  /// Current limit on concurrent requests.
  std::uint32_t request_limit = 0;
  std::uint64_t accepted_flows = 0;
  std::uint64_t bounced_flows = 0;
  std::uint64_t answered_requests = 0;
  std::uint64_t refused_requests = 0;
  std::uint64_t unknown_outcomes = 0;
  std::uint64_t duplicate_requests = 0;
  std::uint64_t cancelled_requests = 0;
  std::uint64_t expired_requests = 0;
  std::uint64_t upstream_retries = 0;
  /// Requests that were not retried because the retry budget was exhausted.
  std::uint64_t retry_budget_exhausted = 0;
  /// Retries that the retry budget currently permits.
  double retries_available = 0.0;
  std::uint64_t replaced_connections = 0;
  std::uint64_t cold_starts = 0;
  std::uint64_t resets_sent = 0;
  std::uint64_t dropped_malformed = 0;
  std::uint64_t dropped_foreign = 0;
  /// Requests whose sequence number is too far above the lowest unfinished one.
  std::uint64_t dropped_beyond_window = 0;
  std::uint64_t dropped_view_not_confirmed = 0;
  std::uint64_t dropped_zone_out = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_AGENTSTATISTICS_H_
