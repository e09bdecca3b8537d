#ifndef FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
#define FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_

#include <chrono>
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
  std::string log_level;
};

/// Returns the settings that store to \p out, which must outlive them.
std::vector<Setting> MakeFlowNodeSettingsTable(FlowNodeSettings* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWNODESETTINGS_H_
