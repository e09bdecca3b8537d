#ifndef FIREFLYTRESTLE_LIBSITE_SITERECORD_H_
#define FIREFLYTRESTLE_LIBSITE_SITERECORD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "libbase/fault.h"
#include "libsite/routesettings.h"
#include "libsite/servicelimits.h"
#include "libsite/upstreamentry.h"

namespace fireflytrestle {

/// \brief The operators' configuration as published.
struct SiteConfiguration {
  std::uint64_t version = 0;
  std::vector<RouteSettings> routes;
  std::map<std::string, ServiceLimits> services;
  std::chrono::milliseconds flow_idle_timeout{0};
  /// One fault for each part that was malformed and left out, or replaced by
  /// its default.
  std::vector<Fault> problems;

  bool operator==(const SiteConfiguration&) const = default;
};

/// \brief A zone that operators have taken out.
struct ZoneOut {
  std::string zone;

  bool operator==(const ZoneOut&) const = default;
};

/// \brief Decoded item of the store; monostate for an item that is not used.
using SiteRecord =
    std::variant<std::monostate, SiteConfiguration, ZoneOut, UpstreamEntry>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SITERECORD_H_
