#ifndef FIREFLYTRESTLE_LIBCTL_CHECKREPORT_H_
#define FIREFLYTRESTLE_LIBCTL_CHECKREPORT_H_

#include <vector>

#include "libbase/fault.h"
#include "libctl/configurationdifference.h"

namespace fireflytrestle {

/// \brief Result of the check of a configuration.
struct CheckReport {
  /// Faults that keep callers from a service, or the configuration from taking
  /// effect.
  std::vector<Fault> errors;
  /// Settings that have no effect or contradict each other.
  std::vector<Fault> warnings;
  std::vector<ConfigurationDifference> differences;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CHECKREPORT_H_
