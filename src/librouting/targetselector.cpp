#include "librouting/targetselector.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "librouting/rendezvoushash.h"
#include "librouting/targettable.h"

namespace fireflytrestle {

namespace {

/// A target with its rendezvous weight for the OPEN.
struct Candidate {
  std::uint64_t weight = 0;
  TargetRecord* record = nullptr;
};

bool HasLowerLoad(const TargetRecord& a, const TargetRecord& b, TimePoint now) {
  // Compares flows per connection. Multiplying crosswise avoids a division.
  return a.load().flows(now) * b.settings().connections <
         b.load().flows(now) * a.settings().connections;
}

/// Returns \p first unless \p second has the lower load and the load reports of
/// both are fresh.
TargetRecord* PickLessLoaded(const Candidate& first,
                             const Candidate& second,
                             TimePoint now) {
  if (first.record == nullptr || second.record == nullptr) {
    return first.record;
  }
  const bool comparable =
      first.record->load().IsFresh(now) && second.record->load().IsFresh(now);
  return comparable && HasLowerLoad(*second.record, *first.record, now)
             ? second.record
             : first.record;
}

/// Selects among targets of eligibility \p worst or better. Independently of
/// \p worst, a target that is due for a probe is selected as the probe if it
/// ranks among the first two.
Selection SelectEligible(Eligibility worst,
                         const ServiceTargets& service,
                         std::uint64_t nonce_key,
                         std::span<const TargetId> tried,
                         TimePoint now) {
  Candidate first;
  Candidate second;
  Candidate probe;
  for (std::size_t i = 0; i < service.hash_keys.size(); ++i) {
    const std::uint64_t weight =
        RendezvousWeight(nonce_key, service.hash_keys[i]);
    // Skip lower-ranked targets without reading their record.
    if (weight < second.weight) {
      continue;
    }
    TargetRecord* record = service.records[i];
    const Eligibility eligibility = record->EligibilityAt(now);
    if (eligibility == Eligibility::kExcluded ||
        std::ranges::find(tried, record->settings().id) != tried.end()) {
      continue;
    }
    if (eligibility == Eligibility::kProbeDue) {
      if (weight >= probe.weight) {
        probe = {weight, record};
      }
    } else if (eligibility > worst) {
      continue;
    } else if (first.record == nullptr || weight > first.weight) {
      second = first;
      first = {weight, record};
    } else {
      second = {weight, record};
    }
  }
  Selection selection;
  selection.target = PickLessLoaded(first, second, now);
  if (probe.weight >= second.weight) {
    selection.probe = probe.record;
  }
  return selection;
}

}  // namespace

Selection SelectTarget(const ServiceTargets& service,
                       const Nonce& nonce,
                       std::span<const TargetId> tried,
                       TimePoint now) {
  const std::uint64_t nonce_key = NonceHashKey(nonce);
  Selection selection =
      SelectEligible(Eligibility::kReady, service, nonce_key, tried, now);
  if (selection.target == nullptr) {
    selection =
        SelectEligible(Eligibility::kHeldOff, service, nonce_key, tried, now);
  }
  // Without any other target, the OPEN itself goes to the target to be probed.
  if (selection.target == nullptr) {
    selection = {selection.probe, nullptr};
  }
  return selection;
}

}  // namespace fireflytrestle
