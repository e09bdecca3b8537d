#include "libnet/flownodesettings.h"

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kMaxLifetimeSeconds = 24ULL * 3600;

}  // namespace

std::vector<Setting> MakeFlowNodeSettingsTable(FlowNodeSettings* out) {
  return {
      TextSetting("instance", "NAME", "Name of this instance, for log lines",
                  std::nullopt, &out->instance),
      TextSetting("zone", "NAME", "Availability zone of this instance",
                  std::nullopt, &out->zone),
      AddressSetting("admin-address",
                     "TCP address for metrics, state dump and readiness",
                     &out->admin_address),
      AddressSetting("node-address",
                     "UDP address for messages of other processes of the "
                     "system",
                     &out->node_address),
      NumberSetting("flow-lifetime-s",
                    "Age in seconds at which a flow may be forgotten", "60", 1,
                    kMaxLifetimeSeconds,
                    [out](std::uint64_t seconds) {
                      out->flow_lifetime = std::chrono::seconds(seconds);
                    }),
      ChoiceSetting("log-level", {"debug", "info", "warning", "error"},
                    "Least level of the lines to log", "info", &out->log_level),
  };
}

}  // namespace fireflytrestle
