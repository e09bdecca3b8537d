#ifndef FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCHECK_H_
#define FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCHECK_H_

namespace fireflytrestle {

struct CheckReport;
struct Configuration;
struct SiteConfiguration;

/// Appends the faults that the decoder found in \p configuration, entries that
/// never match, and limits that contradict each other.
void CheckSettings(const SiteConfiguration& configuration, CheckReport* report);

/// Appends the services, zones and targets of \p configuration that are never
/// used, and stated peaks that the targets cannot carry. The decoder has
/// refused all other faults.
void CheckSettings(const Configuration& configuration, CheckReport* report);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCHECK_H_
