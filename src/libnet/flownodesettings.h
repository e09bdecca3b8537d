#ifndef FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
#define FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/setting.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Settings that the programs for flows without an identity share.
struct FlowNodeSettings {
  std::string instance;
  std::string zone;
  SocketAddress admin_address;
  SocketAddress node_address;
  std::chrono::milliseconds flow_lifetime{0};
  /// Rate of the instance's own link.
  std::uint64_t link_bytes_per_second = 0;
  std::string log_level;
};

/// Returns the bytes that may wait in a socket for the link.
int SendBufferBytes(const FlowNodeSettings& settings);

/// Returns the settings that store to \p out, which must outlive them.
std::vector<Setting> MakeFlowNodeSettingsTable(FlowNodeSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
