#ifndef FIREFLYTRESTLE_LIBNET_PROCESSSETTINGS_H_
#define FIREFLYTRESTLE_LIBNET_PROCESSSETTINGS_H_

#include <string>
#include <vector>

#include "libbase/ids.h"
#include "libbase/setting.h"
#include "libbase/socketaddress.h"
#include "libwire/flowkey.h"

namespace fireflytrestle {

/// \brief Settings common to balancers and agents.
struct ProcessSettings {
  InstanceId instance_id{};
  std::string region;
  std::string zone;
  SocketAddress admin_address;
  SocketAddress platform_address;
  std::vector<SocketAddress> seed_balancers;
  std::vector<FlowKey> flow_keys;
  std::string log_level;
};

/// Returns settings that store their values in \p out, which must outlive them.
std::vector<Setting> MakeProcessSettingsTable(ProcessSettings* out);

/// Accepts a comma-separated list of keys of the form NUMBER:HEX. Numbers are
/// from 0 to 15 and unique within the list; HEX has 32 digits.
Setting FlowKeysSetting(std::string name,
                        std::string description,
                        std::vector<FlowKey>* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_PROCESSSETTINGS_H_
