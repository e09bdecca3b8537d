#ifndef FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
#define FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/setting.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Settings common to fireflytrestle-flowbalancer and
/// fireflytrestle-flowagent, which identify flows by FlowTuple instead of
/// FlowId.
struct FlowNodeSettings {
  std::string instance;
  std::string zone;
  SocketAddress admin_address;
  SocketAddress node_address;
  std::chrono::milliseconds flow_lifetime{0};
  /// Rate of this instance's network link.
  std::uint64_t link_bytes_per_second = 0;
  std::string log_level;
};

/// Returns the size of a UDP socket's send buffer for the link's rate.
int SendBufferBytes(const FlowNodeSettings& settings);

/// Returns settings that store their values in \p out, which must outlive them.
std::vector<Setting> MakeFlowNodeSettingsTable(FlowNodeSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
