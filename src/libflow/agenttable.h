#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTTABLE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libflow/agentpeer.h"
#include "libsite/siteview.h"

namespace fireflytrestle {

using AgentPeerPtr = std::shared_ptr<AgentPeer>;

/// \brief The agents known to a balancer, by address and by service.
class AgentTable {
 public:
  /// \p agent_port is the port of every agent.
  explicit AgentTable(std::uint16_t agent_port) : m_agent_port(agent_port) {}

  /// Returns the agents that were not known before.
  std::vector<AgentPeerPtr> Install(const SiteView& view, TimePoint now);

  /// Applies the report of an agent, which the view need not list. Returns the
  /// agent.
  AgentPeerPtr OnStatus(const SocketAddress& address,
                        const AgentStatus& status,
                        TimePoint now);

  /// Removes agents that the view has not listed and that have not reported
  /// within the last minute.
  void Prune(TimePoint now);

  /// Returns null for an unknown agent.
  AgentPeerPtr Find(const SocketAddress& address) const;

  /// Returns the agents of a service, sorted by address; empty for an unknown
  /// service.
  const std::vector<AgentPeerPtr>& ForService(const std::string& service) const;

  /// Whether the store has an upstream of a service that the configuration does
  /// not have, and its agent has not reported. The view does not list it.
  bool LacksUnconfiguredAgent() const;

  const std::unordered_map<std::string, std::vector<AgentPeerPtr>>& by_service()
      const {
    return m_by_service;
  }

  const std::unordered_map<SocketAddress, AgentPeerPtr, SocketAddressHash>&
  all() const {
    return m_agents;
  }

 private:
  void RebuildServiceIndex();

  std::uint16_t m_agent_port;
  std::set<std::uint32_t> m_unconfigured_upstreams;
  std::unordered_map<SocketAddress, AgentPeerPtr, SocketAddressHash> m_agents;
  std::unordered_map<std::string, std::vector<AgentPeerPtr>> m_by_service;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTTABLE_H_
