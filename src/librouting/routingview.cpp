#include "librouting/routingview.h"

#include <algorithm>

namespace fireflytrestle {

std::shared_ptr<const RoutingView> MakeRoutingView(
    const Configuration& configuration,
    const std::vector<InstanceRecord>& instances) {
  auto view = std::make_shared<RoutingView>();
  view->revision = configuration.revision;
  for (const ZoneSettings& zone : configuration.zones) {
    if (zone.out) {
      view->zones_out.insert(zone.id);
    }
  }
  std::unordered_set<TargetId> leaving;
  for (const InstanceRecord& instance : instances) {
    if (instance.leaving && instance.role == InstanceRecord::Role::kAgent) {
      leaving.insert(instance.target);
    }
  }
  // A service without candidates keeps an entry, so that OPENs of its callers
  // are refused instead of dropped as for an unknown service.
  for (const ServiceSettings& service : configuration.services) {
    view->candidates[service.id];
  }
  for (const TargetSettings& target : configuration.targets) {
    if (!view->zones_out.contains(target.zone) &&
        !leaving.contains(target.id)) {
      view->candidates[target.service].push_back(target);
    }
  }
  for (auto& [service, targets] : view->candidates) {
    std::ranges::sort(targets, {}, &TargetSettings::id);
  }
  return view;
}

}  // namespace fireflytrestle
