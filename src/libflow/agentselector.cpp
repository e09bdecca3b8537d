#include "libflow/agentselector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "libflow/flowclass.h"
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

/// Number of steps, for the work of one request, in which the expected time to
/// an answer counts. All balancers see the same reports, so that without steps
/// their next flows would all go to the same upstream.
constexpr double kStepsPerWork = 3.0;
/// Steps that are added for an agent in another zone: the round trip there. The
/// fraction lets the own zone go first among equals.
constexpr double kOtherZoneSteps = 1.1;

struct AgentSummary {
  /// Number of preferred agents in the own zone.
  std::size_t own_zone_agents = 0;
  /// Mean work of a request in milliseconds at the preferred agents that report
  /// it; empty if none does.
  std::optional<double> typical_work;
};

AgentSummary Summarize(const std::vector<AgentPeerPtr>& agents,
                       std::uint8_t priority,
                       const std::string& own_zone,
                       TimePoint now) {
  AgentSummary summary;
  double sum = 0.0;
  int count = 0;
  for (const AgentPeerPtr& agent : agents) {
    if (!agent->IsPreferred(priority, now)) {
      continue;
    }
    summary.own_zone_agents += agent->zone() == own_zone ? 1 : 0;
    if (const std::optional<double> work = agent->Work(now)) {
      sum += *work;
      ++count;
    }
  }
  if (count > 0) {
    summary.typical_work = sum / count;
  }
  return summary;
}

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
                         const FlowClass& flow_class,
                         std::span<const AgentPeerPtr> tried,
                         const std::string& own_zone,
                         TimePoint now) {
  const bool long_lived = flow_class.long_lived;
  const AgentSummary summary =
      Summarize(agents, flow_class.priority, own_zone, now);
  const bool stays_in_zone =
      long_lived && summary.own_zone_agents >= kMinOwnZoneAgents;
  const AgentPeerPtr* best = nullptr;
  auto best_rank =
      std::make_pair(true, std::numeric_limits<double>::infinity());
  std::uint64_t best_hash = 0;
  for (const AgentPeerPtr& agent : agents) {
    if (!agent->IsCandidate() || Contains(tried, agent)) {
      continue;
    }
    const bool is_near = agent->zone() == own_zone;
    double load = 0.0;
    if (!long_lived && summary.typical_work) {
      const double step = *summary.typical_work / kStepsPerWork;
      load = std::round(agent->TimeToAnswer(*summary.typical_work, now) / step);
      load += is_near ? 0.0 : kOtherZoneSteps;
    } else {
      load = summary.typical_work
                 ? agent->LastingLoad(*summary.typical_work, now)
                 : agent->Load(long_lived, now);
      if (!is_near) {
        load = stays_in_zone ? load * kOtherZoneFactor + kOtherZoneFlowsPerSlot
                             : load + kOtherZoneLoad;
      }
    }
    const auto rank =
        std::make_pair(!agent->IsPreferred(flow_class.priority, now), load);
    if (best != nullptr && best_rank < rank) {
      continue;
    }
    FlowTuple mixed = tuple;
    mixed.route = agent->address();
    const std::uint64_t hash = HashTuple(mixed);
    if (best == nullptr || rank < best_rank || hash < best_hash) {
      best = &agent;
      best_rank = rank;
      best_hash = hash;
    }
  }
  return best == nullptr ? nullptr : *best;
}

}  // namespace fireflytrestle
