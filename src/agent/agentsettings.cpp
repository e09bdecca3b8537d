#include "agent/agentsettings.h"

#include <limits>

namespace fireflytrestle {

namespace {

// AgentEngine ends a graceful stop after this time, so a longer timeout would
// have no effect.
constexpr std::chrono::milliseconds kMaxStopTimeout{30000};

}  // namespace

std::vector<Setting> MakeAgentSettingsTable(AgentSettings* out) {
  std::vector<Setting> table = MakeProcessSettingsTable(&out->process);
  table.push_back(NumberSetting(
      "target-id", "Target of the configuration that this agent serves",
      std::nullopt, 1, std::numeric_limits<std::uint32_t>::max(),
      [out](std::uint64_t number) {
        out->target_id = TargetId{static_cast<std::uint32_t>(number)};
      }));
  table.push_back(AddressSetting("agent-address",
                                 "UDP address for packets from balancers",
                                 &out->agent_address));
  table.push_back(AddressSetting("upstream-address",
                                 "TCP address of the upstream",
                                 &out->upstream_address));
  table.push_back(MillisecondsSetting(
      "stop-timeout-ms",
      "Longest time that the graceful stop waits for flows to end", "30000",
      kMaxStopTimeout, &out->stop_timeout));
  return table;
}

}  // namespace fireflytrestle
