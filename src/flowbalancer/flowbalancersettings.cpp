#include "flowbalancer/flowbalancersettings.h"

namespace fireflytrestle {

std::vector<Setting> MakeFlowBalancerSettingsTable(FlowBalancerSettings* out) {
  std::vector<Setting> table = MakeFlowNodeSettingsTable(&out->node);
  table.push_back(AddressSetting(
      "frontend-address",
      "UDP address for packets of callers; agents and callers receive packets "
      "at the same port",
      &out->frontend_address));
  table.push_back(AddressSetting("platform-address",
                                 "TCP address of the platform's store",
                                 &out->platform_address));
  return table;
}

}  // namespace fireflytrestle
