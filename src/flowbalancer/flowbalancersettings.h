#ifndef FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERSETTINGS_H_
#define FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERSETTINGS_H_

#include <vector>

#include "libnet/flownodesettings.h"

namespace fireflytrestle {

struct FlowBalancerSettings {
  FlowNodeSettings node;
  SocketAddress frontend_address;
  SocketAddress platform_address;
};

/// Returns the settings, which write their values to \p out; it must outlive
/// them.
std::vector<Setting> MakeFlowBalancerSettingsTable(FlowBalancerSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERSETTINGS_H_
