#ifndef FIREFLYTRESTLE_LIBSITE_SITEVIEW_H_
#define FIREFLYTRESTLE_LIBSITE_SITEVIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "libsite/routesettings.h"
#include "libsite/servicelimits.h"
#include "libsite/upstreamentry.h"

namespace fireflytrestle {

struct SocketAddressHash {
  std::size_t operator()(const SocketAddress& address) const {
    return (std::size_t{address.ipv4} << 16U) ^ address.port;
  }
};

/// \brief Immutable state of routes, services, upstreams and zones for the
/// traffic thread.
struct SiteView {
  /// Version of the current configuration; 0 before the first one arrives.
  std::uint64_t configuration_version = 0;
  std::unordered_map<SocketAddress, RouteSettings, SocketAddressHash> routes;
  /// Routes of earlier configurations that the current one does not have.
  /// Another unknown route may be one that this process has yet to learn of.
  std::unordered_set<SocketAddress, SocketAddressHash> dropped_routes;
  std::map<std::string, ServiceLimits> services;
  /// Upstreams by the IPv4 address of their instance. Of several entries with
  /// the same address, one that is not missing is preferred, then the one that
  /// started last. The revision is that of the last change of any of these.
  std::map<std::uint32_t, UpstreamEntry> upstreams;
  /// IPv4 addresses of entries of services that the configuration does not
  /// have, without those in \ref upstreams. Such an upstream gets no flows, but
  /// may hold some from an earlier configuration.
  std::set<std::uint32_t> unconfigured_upstreams;
  std::set<std::string> zones_out;
  /// Flows that have been idle for longer may be removed.
  std::chrono::milliseconds flow_idle_timeout{0};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SITEVIEW_H_
