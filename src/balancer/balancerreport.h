#ifndef FIREFLYTRESTLE_BALANCER_BALANCERREPORT_H_
#define FIREFLYTRESTLE_BALANCER_BALANCERREPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "balancer/trafficsnapshot.h"
#include "libbase/clock.h"
#include "libnet/lastchangetracker.h"

namespace fireflytrestle {

class MetricsWriter;
class ProcessReport;
struct Configuration;

/// \brief Writes the traffic part of a balancer's metrics and state dump from
/// the snapshots of its traffic threads.
class BalancerReport {
 public:
  explicit BalancerReport(std::size_t threads) : m_snapshots(threads) {}

  /// Stores the latest snapshot of a traffic thread.
  void Record(std::size_t thread, TrafficSnapshot snapshot, TimePoint now);

  /// \p process provides the names of the zones.
  void WriteMetrics(const ProcessReport& process, MetricsWriter* metrics) const;

  /// Adds targets, services, flow counts and drops to \p state.
  void AddState(const Configuration& configuration,
                const ProcessReport& process,
                TimePoint now,
                nlohmann::ordered_json* state);

 private:
  /// State of a target merged from all threads.
  struct Target {
    TargetSnapshot merged;
    /// Time of the last change of its state.
    TimePoint since{};
  };

  std::map<TargetId, TargetSnapshot> MergedTargets() const;
  std::map<ServiceId, ServiceSnapshot> MergedServices() const;
  RouterStatistics TotalStatistics() const;
  std::array<std::uint64_t, kDropReasonCount> TotalDrops() const;
  SocketLosses TotalLosses() const;

  void WriteTargets(const ProcessReport& process, MetricsWriter* metrics) const;
  void WriteServices(MetricsWriter* metrics) const;
  void WriteOpens(MetricsWriter* metrics) const;
  void WriteDrops(MetricsWriter* metrics) const;
  void WriteZones(const ProcessReport& process, MetricsWriter* metrics) const;

  std::vector<TrafficSnapshot> m_snapshots;
  LastChangeTracker<TargetId, TargetState> m_target_states;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_BALANCERREPORT_H_
