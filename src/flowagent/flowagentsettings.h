#ifndef FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTSETTINGS_H_
#define FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTSETTINGS_H_

#include <cstdint>
#include <vector>

#include "libnet/flownodesettings.h"

namespace fireflytrestle {

struct FlowAgentSettings {
  FlowNodeSettings node;
  std::string service;
  SocketAddress outbound_address;
  SocketAddress upstream_address;
  /// Addresses of balancer instances; their ports are ignored.
  std::vector<SocketAddress> seeds;
  std::uint16_t balancer_port = 0;
  /// "true" or "false".
  std::string first_start;
};

/// Returns the settings, which write their values to \p out; it must outlive
/// them.
std::vector<Setting> MakeFlowAgentSettingsTable(FlowAgentSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTSETTINGS_H_
