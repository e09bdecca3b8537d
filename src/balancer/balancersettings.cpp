#include "balancer/balancersettings.h"

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kMaxTrafficThreads = 64;

}  // namespace

std::vector<Setting> MakeBalancerSettingsTable(BalancerSettings* out) {
  std::vector<Setting> table = MakeProcessSettingsTable(&out->process);
  table.push_back(AddressSetting("frontend-address",
                                 "UDP address for packets from the fabric",
                                 &out->frontend_address));
  table.push_back(AddressSetting(
      "fabric-address", "UDP address that packets for callers are sent to",
      &out->fabric_address));
  table.push_back(AddressSetting(
      "backend-address",
      "UDP address for packets to and from agents; each further traffic thread "
      "takes the next port",
      &out->backend_address));
  table.push_back(AddressSetting("mesh-address",
                                 "TCP address for links of other processes",
                                 &out->mesh_address));
  table.push_back(NumberSetting(
      "traffic-threads", "Threads that route packets", "1", 1,
      kMaxTrafficThreads,
      [out](std::uint64_t number) { out->traffic_threads = number; }));
  return table;
}

}  // namespace fireflytrestle
