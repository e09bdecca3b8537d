#ifndef FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCHANGE_H_
#define FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCHANGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libbase/ids.h"

namespace fireflytrestle {

struct Configuration;

/// \brief Total capacity of the targets of one service, without zones that are
/// out.
struct ServiceCapacity {
  ServiceId service{};
  std::uint32_t targets = 0;
  std::uint64_t connections = 0;
  std::uint64_t slots = 0;
};

/// Returns the capacity of each service, in the order of the services.
std::vector<ServiceCapacity> ComputeCapacity(
    const Configuration& configuration);

/// Returns one line for each stated peak that the targets of the service in the
/// zones that are in cannot carry.
std::vector<std::string> FindOverload(const Configuration& configuration);

/// Returns one line for each stated peak that a service could not carry if one
/// more zone were out. Empty if FindOverload() is not: that overload has to be
/// corrected first.
std::vector<std::string> FindMissingReserve(const Configuration& configuration);

/// Returns the names of the services that have targets in \p zone and in no
/// other zone that is in.
std::vector<std::string> FindServicesOnlyIn(const Configuration& configuration,
                                            ZoneId zone);

/// Returns a description of each difference for operators, one line each; empty
/// if only the revision differs.
std::vector<std::string> DescribeChanges(const Configuration& from,
                                         const Configuration& to);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCHANGE_H_
