#include "librouting/targettable.h"

#include <utility>

#include "librouting/rendezvoushash.h"
#include "librouting/routingview.h"

namespace fireflytrestle {

namespace {

/// Retries per first attempt.
constexpr double kRetryShare = 0.2;
/// Retries granted without any first attempt.
constexpr double kRetriesPerSecond = 10.0;

}  // namespace

ServiceTargets::ServiceTargets(TimePoint now)
    : retry_budget(kRetryShare, kRetriesPerSecond, now) {}

void TargetTable::Install(const RoutingView& view, TimePoint now) {
  std::unordered_map<TargetId, TargetRecord> old_targets =
      std::exchange(m_targets, {});
  std::unordered_map<ServiceId, ServiceTargets> old_services =
      std::exchange(m_services, {});
  m_services.reserve(view.candidates.size());
  for (const auto& [id, targets] : view.candidates) {
    auto service_node = old_services.extract(id);
    ServiceTargets& service =
        service_node
            ? m_services.insert(std::move(service_node)).position->second
            : m_services.emplace(id, now).first->second;
    service.hash_keys.clear();
    service.records.clear();
    for (const TargetSettings& settings : targets) {
      auto node = old_targets.extract(settings.id);
      TargetRecord& record =
          node ? m_targets.insert(std::move(node)).position->second
               : m_targets.emplace(settings.id, settings).first->second;
      record.Reconfigure(settings);
      service.hash_keys.push_back(TargetHashKey(settings.id));
      service.records.push_back(&record);
    }
  }
}

ServiceTargets* TargetTable::FindService(ServiceId id) {
  const auto found = m_services.find(id);
  return found == m_services.end() ? nullptr : &found->second;
}

TargetRecord* TargetTable::FindTarget(TargetId id) {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? nullptr : &found->second;
}

}  // namespace fireflytrestle
