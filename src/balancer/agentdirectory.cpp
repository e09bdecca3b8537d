#include "balancer/agentdirectory.h"

#include "libconfig/configuration.h"

namespace fireflytrestle {

AgentDirectory::AgentDirectory(const Configuration& configuration) {
  for (const TargetSettings& target : configuration.targets) {
    m_zones.emplace(target.agent, target.zone);
  }
}

std::optional<ZoneId> AgentDirectory::FindZone(
    const SocketAddress& agent) const {
  const auto position = m_zones.find(agent);
  return position == m_zones.end() ? std::nullopt
                                   : std::optional(position->second);
}

}  // namespace fireflytrestle
