#ifndef FIREFLYTRESTLE_AGENT_AGENTSETTINGS_H_
#define FIREFLYTRESTLE_AGENT_AGENTSETTINGS_H_

#include <chrono>
#include <vector>

#include "libbase/ids.h"
#include "libbase/setting.h"
#include "libbase/socketaddress.h"
#include "libnet/processsettings.h"

namespace fireflytrestle {

struct AgentSettings {
  ProcessSettings process;
  TargetId target_id{};
  SocketAddress agent_address;
  SocketAddress upstream_address;
  std::chrono::milliseconds stop_timeout{0};
};

/// Returns the settings of the agent. They store their values in \p out, which
/// must outlive them.
std::vector<Setting> MakeAgentSettingsTable(AgentSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_AGENTSETTINGS_H_
