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
  /// Instances of balancers, with a port that is not used.
  std::vector<SocketAddress> seeds;
  std::uint16_t balancer_port = 0;
};

/// Returns the settings that store to \p out, which must outlive them.
std::vector<Setting> MakeFlowAgentSettingsTable(FlowAgentSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTSETTINGS_H_
