#ifndef FIREFLYTRESTLE_LIBCTL_CONFIGURATIONDIFFERENCE_H_
#define FIREFLYTRESTLE_LIBCTL_CONFIGURATIONDIFFERENCE_H_

#include <string>

namespace fireflytrestle {

/// \brief What differs between two versions of a configuration, and what that
/// does to callers.
struct ConfigurationDifference {
  /// The part that differs, such as "route 198.18.0.1:443".
  std::string subject;
  std::string change;
  std::string effect;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CONFIGURATIONDIFFERENCE_H_
