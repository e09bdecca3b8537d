#ifndef FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCOMPARISON_H_
#define FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCOMPARISON_H_

namespace fireflytrestle {

struct CheckReport;
struct Configuration;
struct SiteConfiguration;

/// Appends what differs between \p from, the configuration in force, and \p to,
/// and an error if \p to is not newer.
void CompareSettings(const SiteConfiguration& from,
                     const SiteConfiguration& to,
                     CheckReport* report);
void CompareSettings(const Configuration& from,
                     const Configuration& to,
                     CheckReport* report);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CONFIGURATIONCOMPARISON_H_
