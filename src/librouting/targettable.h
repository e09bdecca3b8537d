#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETTABLE_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETTABLE_H_

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "libbase/retrybudget.h"
#include "librouting/targetrecord.h"

namespace fireflytrestle {

struct RoutingView;

/// \brief The targets of one service that may get new flows, and the service's
/// retry budget.
struct ServiceTargets {
  explicit ServiceTargets(TimePoint now);

  /// Two arrays of equal length with one element per target. The hash keys are
  /// stored separately from the records because every OPEN reads all keys but
  /// only a few records.
  std::vector<std::uint64_t> hash_keys;
  std::vector<TargetRecord*> records;
  RetryBudget retry_budget;
};

/// \brief All targets and services of the current view, with their health, load
/// and retry budgets.
class TargetTable {
 public:
  /// Replaces targets and services by those of \p view. Keeps the records and
  /// retry budgets of targets and services that are in both views.
  void Install(const RoutingView& view, TimePoint now);

  /// Returns null for an unknown id, as does FindTarget().
  ServiceTargets* FindService(ServiceId id);
  TargetRecord* FindTarget(TargetId id);

  const std::unordered_map<ServiceId, ServiceTargets>& services() const {
    return m_services;
  }

 private:
  std::unordered_map<TargetId, TargetRecord> m_targets;
  std::unordered_map<ServiceId, ServiceTargets> m_services;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETTABLE_H_
