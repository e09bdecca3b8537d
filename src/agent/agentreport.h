#ifndef FIREFLYTRESTLE_AGENT_AGENTREPORT_H_
#define FIREFLYTRESTLE_AGENT_AGENTREPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "agent/agentsnapshot.h"
#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libnet/lastchangetracker.h"

namespace fireflytrestle {

class MetricsWriter;
class ProcessReport;
struct Configuration;

/// \brief Writes the part of an agent's metrics and state dump that is based on
/// the snapshots of its traffic thread.
class AgentReport {
 public:
  explicit AgentReport(TargetId target) : m_target(target) {}

  void Record(const AgentSnapshot& snapshot, TimePoint now);

  void WriteMetrics(const Configuration& configuration,
                    const ProcessReport& process,
                    MetricsWriter* metrics) const;

  /// Adds the target, the counts of flows, requests and upstream connections,
  /// and the dropped packets to \p state.
  void AddState(const Configuration& configuration,
                const ProcessReport& process,
                TimePoint now,
                nlohmann::ordered_json* state);

 private:
  std::string ZoneName(const Configuration& configuration,
                       const ProcessReport& process) const;
  void WriteFlows(const std::string& zone, MetricsWriter* metrics) const;
  void WriteRequests(const std::string& zone, MetricsWriter* metrics) const;
  void WriteUpstream(const std::string& zone, MetricsWriter* metrics) const;
  void WriteDrops(MetricsWriter* metrics) const;

  TargetId m_target;
  AgentSnapshot m_snapshot;
  LastChangeTracker<TargetId, TargetState> m_states;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_AGENTREPORT_H_
