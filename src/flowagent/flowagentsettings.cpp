#include "flowagent/flowagentsettings.h"

#include <limits>

namespace fireflytrestle {

std::vector<Setting> MakeFlowAgentSettingsTable(FlowAgentSettings* out) {
  std::vector<Setting> table = MakeFlowNodeSettingsTable(&out->node);
  table.push_back(TextSetting("service", "NAME",
                              "Service that the upstream belongs to",
                              std::nullopt, &out->service));
  table.push_back(AddressSetting(
      "outbound-address", "UDP address that the upstream sends its packets to",
      &out->outbound_address));
  table.push_back(AddressSetting(
      "upstream-address", "UDP address that the upstream receives packets at",
      &out->upstream_address));
  table.push_back(AddressListSetting(
      "seed-balancers",
      "Balancers to report to before one sends a heartbeat; only the IP "
      "addresses are used",
      "", &out->seeds));
  table.push_back(NumberSetting(
      "balancer-port", "Port of the balancers' node address", std::nullopt, 1,
      std::numeric_limits<std::uint16_t>::max(), [out](std::uint64_t port) {
        out->balancer_port = static_cast<std::uint16_t>(port);
      }));
  table.push_back(ChoiceSetting(
      "first-start", {"false", "true"},
      "Whether the whole site starts for the first time, so that no upstream "
      "holds a flow; false at every later start",
      "false", &out->first_start));
  return table;
}

}  // namespace fireflytrestle
