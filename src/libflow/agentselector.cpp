#include "libflow/agentselector.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "libsite/routesettings.h"

namespace fireflytrestle {

namespace {

/// Load that is added for an agent in another zone: the round trip there costs
/// about a tenth of the work of one request.
constexpr double kOtherZoneLoad = 0.1;

/// If the own zone has at least this many agents that accept flows, long-lived
/// flows stay in the zone; fewer agents do not even out the load of the zone's
/// callers.
constexpr std::size_t kMinOwnZoneAgents = 6;
/// An agent in another zone gets such a flow only if its load, multiplied by
/// this factor and increased by one flow per slot, is still lower.
constexpr double kOtherZoneFactor = 1.5;
constexpr double kOtherZoneFlowsPerSlot = 1.0;

bool Contains(std::span<const AgentPeerPtr> agents, const AgentPeerPtr& agent) {
  return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

}  // namespace

const std::string* SelectService(const RouteSettings& route,
                                 const FlowTuple& tuple) {
  std::uint64_t total = 0;
  for (const WeightedService& each : route.services) {
    total += each.weight;
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t point = (HashTuple(tuple) >> 8U) % total;
  for (const WeightedService& each : route.services) {
    if (point < each.weight) {
      return &each.service;
    }
    point -= each.weight;
  }
  return nullptr;
}

AgentPeerPtr SelectAgent(const std::vector<AgentPeerPtr>& agents,
                         const FlowTuple& tuple,
                         bool long_lived,
                         std::span<const AgentPeerPtr> tried,
                         const std::string& own_zone,
                         TimePoint now) {
  const auto own_zone_agents =
      std::count_if(agents.begin(), agents.end(), [&](const auto& agent) {
        return agent->zone() == own_zone && agent->IsPreferred(now);
      });
  const bool stays_in_zone =
      long_lived &&
      static_cast<std::size_t>(own_zone_agents) >= kMinOwnZoneAgents;
  const AgentPeerPtr* best = nullptr;
  auto best_rank = std::make_tuple(true, std::numeric_limits<double>::max(),
                                   std::numeric_limits<std::uint64_t>::max());
  for (const AgentPeerPtr& agent : agents) {
    if (!agent->IsCandidate() || Contains(tried, agent)) {
      continue;
    }
    double load = agent->Load(long_lived, now);
    if (agent->zone() != own_zone) {
      load = stays_in_zone ? load * kOtherZoneFactor + kOtherZoneFlowsPerSlot
                           : load + kOtherZoneLoad;
    }
    FlowTuple mixed = tuple;
    mixed.route = agent->address();
    const auto rank =
        std::make_tuple(!agent->IsPreferred(now), load, HashTuple(mixed));
    if (best == nullptr || rank < best_rank) {
      best = &agent;
      best_rank = rank;
    }
  }
  return best == nullptr ? nullptr : *best;
}

}  // namespace fireflytrestle
