#ifndef FIREFLYTRESTLE_BALANCER_BALANCERSETTINGS_H_
#define FIREFLYTRESTLE_BALANCER_BALANCERSETTINGS_H_

#include <cstdint>
#include <vector>

#include "libbase/setting.h"
#include "libbase/socketaddress.h"
#include "libnet/processsettings.h"

namespace fireflytrestle {

struct BalancerSettings {
  ProcessSettings process;
  SocketAddress frontend_address;
  SocketAddress fabric_address;
  SocketAddress backend_address;
  SocketAddress mesh_address;
  std::uint64_t traffic_threads = 1;
};

/// Returns the settings of the program. They write their values to \p out,
/// which must outlive them.
std::vector<Setting> MakeBalancerSettingsTable(BalancerSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_BALANCERSETTINGS_H_
