#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTSUBSCRIPTIONS_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTSUBSCRIPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libflow/agenttable.h"

namespace fireflytrestle {

/// \brief Selects the agents from which a balancer requests regular reports.
///
/// A balancer places new flows on a bounded subset of each service, for the
/// most part in its own zone, and needs the load of this subset only. Agents to
/// which it forwards packets are added, so that it detects their loss. The
/// number of reports per balancer and per agent therefore does not grow with
/// the number of instances.
class AgentSubscriptions {
 public:
  /// Number of agents in the subset of a service. With two slots per upstream,
  /// it has room for all flows that one balancer opens between two reports.
  static constexpr std::size_t kAgentsPerService = 20;
  /// Number of these that are selected from the balancer's own zone first. The
  /// others keep the balancer working if it loses all agents of its zone.
  static constexpr std::size_t kOwnZoneAgents = 8;
  /// If the subset has at least this many agents of the own zone, agents of
  /// other zones get few flows and report at kRemoteReportInterval only.
  static constexpr std::size_t kMinOwnZoneAgents = 4;
  static constexpr std::chrono::milliseconds kRemoteReportInterval{500};
  static constexpr std::chrono::milliseconds kUpdateInterval{1000};

  /// \p seed differs between balancers, so that they select different subsets.
  AgentSubscriptions(std::uint64_t seed, std::string zone)
      : m_seed(seed), m_zone(std::move(zone)) {}

  /// Selects the subsets again, and marks the agents from which reports are
  /// wanted.
  void Update(const AgentTable& agents, TimePoint now);

  /// Calls Update() if kUpdateInterval has passed since the last call.
  void OnTick(const AgentTable& agents, TimePoint now);

  /// Returns the selected subset of a service; empty for an unknown service.
  const std::vector<AgentPeerPtr>& ForService(const std::string& service) const;

 private:
  std::vector<AgentPeerPtr> Select(
      const std::vector<AgentPeerPtr>& agents) const;
  /// Returns the interval of reports from agents of other zones in \p subset.
  std::chrono::milliseconds RemoteInterval(
      const std::vector<AgentPeerPtr>& subset) const;

  std::uint64_t m_seed;
  std::string m_zone;
  std::unordered_map<std::string, std::vector<AgentPeerPtr>> m_by_service;
  TimePoint m_next_update{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTSUBSCRIPTIONS_H_
