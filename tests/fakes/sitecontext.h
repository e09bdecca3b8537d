#ifndef FIREFLYTRESTLE_TESTS_FAKES_SITECONTEXT_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SITECONTEXT_H_

#include <set>
#include <string>

#include "fakes/siteresults.h"
#include "libbase/ids.h"

namespace fireflytrestle {

/// \brief State that all fake callers of a run share.
struct SiteContext {
  SiteResults results;
  /// Zones that operators have taken out. Callers abandon feeds in these zones,
  /// and flows and orders lost there are not counted as faults.
  std::set<ZoneId> zones_out;
  /// Callers start no new requests and finish pending ones.
  bool closing = false;
  /// Divisor of the pause between requests; above 1 for a load peak.
  double load = 1.0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SITECONTEXT_H_
