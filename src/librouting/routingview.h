#ifndef FIREFLYTRESTLE_LIBROUTING_ROUTINGVIEW_H_
#define FIREFLYTRESTLE_LIBROUTING_ROUTINGVIEW_H_

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libconfig/configuration.h"
#include "libconfig/instancerecord.h"

namespace fireflytrestle {

/// \brief Immutable extract of the configuration and the instance list for the
/// traffic threads.
struct RoutingView {
  Revision revision{};
  std::unordered_set<ZoneId> zones_out;
  /// Targets that may get new flows, by service and sorted by id. Excludes
  /// targets in zones that are out and targets whose agent is marked as leaving
  /// in the instance list.
  std::unordered_map<ServiceId, std::vector<TargetSettings>> candidates;
};

std::shared_ptr<const RoutingView> MakeRoutingView(
    const Configuration& configuration,
    const std::vector<InstanceRecord>& instances);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_ROUTINGVIEW_H_
