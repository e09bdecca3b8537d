#ifndef FIREFLYTRESTLE_BALANCER_AGENTDIRECTORY_H_
#define FIREFLYTRESTLE_BALANCER_AGENTDIRECTORY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

struct Configuration;

/// \brief Maps addresses of agents to availability zones, for metrics.
class AgentDirectory {
 public:
  explicit AgentDirectory(const Configuration& configuration);

  /// Returns nothing if no target has this agent address.
  std::optional<ZoneId> FindZone(const SocketAddress& agent) const;

 private:
  struct Hash {
    std::size_t operator()(const SocketAddress& address) const {
      return std::hash<std::uint64_t>()((std::uint64_t{address.ipv4} << 16U) |
                                        address.port);
    }
  };

  std::unordered_map<SocketAddress, ZoneId, Hash> m_zones;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_AGENTDIRECTORY_H_
