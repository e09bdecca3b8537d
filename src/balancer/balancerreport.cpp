#include "balancer/balancerreport.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libconfig/configuration.h"
#include "libnet/metricswriter.h"
#include "libnet/processreport.h"

namespace fireflytrestle {

namespace {

using Json = nlohmann::ordered_json;

std::string ToLabel(TargetId id) {
  return std::to_string(static_cast<std::uint32_t>(id));
}

std::string ToLabel(ServiceId id) {
  return std::to_string(static_cast<std::uint32_t>(id));
}

/// Merges the snapshots that two threads have of one target. State and load
/// come from a thread whose load report is fresh, if there is one.
TargetSnapshot Merge(const TargetSnapshot& a, const TargetSnapshot& b) {
  TargetSnapshot merged = b.load_fresh && !a.load_fresh ? b : a;
  merged.opens_under_way = a.opens_under_way + b.opens_under_way;
  merged.suspect = a.suspect || b.suspect;
  return merged;
}

}  // namespace

void BalancerReport::Record(std::size_t thread,
                            TrafficSnapshot snapshot,
                            TimePoint now) {
  for (const TargetSnapshot& target : snapshot.router.targets) {
    m_target_states.Record(target.target, target.state, now);
  }
  m_snapshots[thread] = std::move(snapshot);
}

std::map<TargetId, TargetSnapshot> BalancerReport::MergedTargets() const {
  std::map<TargetId, TargetSnapshot> targets;
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    for (const TargetSnapshot& target : snapshot.router.targets) {
      const auto [position, added] = targets.try_emplace(target.target, target);
      if (!added) {
        position->second = Merge(position->second, target);
      }
    }
  }
  return targets;
}

std::map<ServiceId, ServiceSnapshot> BalancerReport::MergedServices() const {
  std::map<ServiceId, ServiceSnapshot> services;
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    for (const ServiceSnapshot& service : snapshot.router.services) {
      const auto [position, added] =
          services.try_emplace(service.service, service);
      if (!added) {
        position->second.retries_available += service.retries_available;
      }
    }
  }
  return services;
}

RouterStatistics BalancerReport::TotalStatistics() const {
  RouterStatistics total;
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    total.forwarded += snapshot.statistics.forwarded;
    total.opens_forwarded += snapshot.statistics.opens_forwarded;
    total.opens_retried += snapshot.statistics.opens_retried;
    total.returned += snapshot.statistics.returned;
    total.bounced += snapshot.statistics.bounced;
    total.opens_refused += snapshot.statistics.opens_refused;
    total.retry_budget_exhausted += snapshot.statistics.retry_budget_exhausted;
  }
  return total;
}

std::array<std::uint64_t, kDropReasonCount> BalancerReport::TotalDrops() const {
  std::array<std::uint64_t, kDropReasonCount> total{};
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    std::transform(total.begin(), total.end(), snapshot.drops.begin(),
                   total.begin(), std::plus<>());
  }
  return total;
}

SocketLosses BalancerReport::TotalLosses() const {
  SocketLosses total;
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    total.unsent_lease_expired += snapshot.losses.unsent_lease_expired;
    total.send_failures += snapshot.losses.send_failures;
    total.oversized += snapshot.losses.oversized;
  }
  return total;
}

void BalancerReport::WriteMetrics(const ProcessReport& process,
                                  MetricsWriter* metrics) const {
  WriteTargets(process, metrics);
  WriteServices(metrics);
  WriteOpens(metrics);
  WriteDrops(metrics);
  WriteZones(process, metrics);
}

void BalancerReport::WriteTargets(const ProcessReport& process,
                                  MetricsWriter* metrics) const {
  for (const auto& [id, target] : MergedTargets()) {
    const MetricsWriter::Labels labels = {
        {"target", ToLabel(id)},
        {"service", ToLabel(target.service)},
        {"zone", process.ZoneName(target.zone)}};
    metrics->Gauge("target_open_flows",
                   "Open flows of a target by its last report",
                   target.open_flows, labels);
    metrics->Gauge("target_opens_under_way",
                   "OPENs sent to a target and not answered yet",
                   target.opens_under_way, labels);
    metrics->Gauge("target_report_fresh",
                   "1 while the last report of a target is recent enough to "
                   "be compared",
                   target.load_fresh ? 1 : 0, labels);
    metrics->Gauge("target_suspect", "1 while a target leaves OPENs unanswered",
                   target.suspect ? 1 : 0, labels);
    metrics->Gauge("target_state",
                   "State of a target by its last report; the value is "
                   "always 1",
                   1,
                   {{"target", ToLabel(id)},
                    {"service", ToLabel(target.service)},
                    {"zone", process.ZoneName(target.zone)},
                    {"state", ToString(target.state)}});
  }
}

void BalancerReport::WriteServices(MetricsWriter* metrics) const {
  for (const auto& [id, service] : MergedServices()) {
    metrics->Gauge("service_candidates", "Targets that may get new flows",
                   service.candidates, {{"service", ToLabel(id)}});
    metrics->Gauge("open_retry_budget",
                   "Retries of OPENs that would be granted at once",
                   service.retries_available, {{"service", ToLabel(id)}});
  }
}

void BalancerReport::WriteOpens(MetricsWriter* metrics) const {
  const RouterStatistics total = TotalStatistics();
  const auto add = [&](const char* outcome, std::uint64_t value) {
    metrics->Counter("opens_total", "OPENs by what became of them",
                     static_cast<double>(value), {{"outcome", outcome}});
  };
  add("forwarded", total.opens_forwarded);
  add("bounced", total.bounced);
  add("retried", total.opens_retried);
  add("refused", total.opens_refused);
  metrics->Counter("open_retry_budget_exhausted_total",
                   "OPENs refused because the retry budget was exhausted",
                   static_cast<double>(total.retry_budget_exhausted));
  metrics->Counter("packets_total", "Datagrams passed on",
                   static_cast<double>(total.forwarded + total.opens_forwarded +
                                       total.opens_retried),
                   {{"direction", "to_agent"}});
  metrics->Counter("packets_total", "Datagrams passed on",
                   static_cast<double>(total.returned),
                   {{"direction", "to_caller"}});
}

void BalancerReport::WriteDrops(MetricsWriter* metrics) const {
  const auto add = [&](const char* reason, std::uint64_t value) {
    metrics->Counter("dropped_packets_total", "Datagrams dropped by reason",
                     static_cast<double>(value), {{"reason", reason}});
  };
  const auto drops = TotalDrops();
  for (std::size_t i = 0; i < drops.size(); ++i) {
    add(ToString(static_cast<DropReason>(i)), drops[i]);
  }
  const SocketLosses losses = TotalLosses();
  add("lease_expired_before_send", losses.unsent_lease_expired);
  add("send_failed", losses.send_failures);
  add("oversized", losses.oversized);
}

void BalancerReport::WriteZones(const ProcessReport& process,
                                MetricsWriter* metrics) const {
  std::map<std::optional<ZoneId>, ZoneTraffic> zones;
  for (const TrafficSnapshot& snapshot : m_snapshots) {
    for (const auto& [zone, traffic] : snapshot.zones) {
      zones[zone].to_agents.Add(traffic.to_agents);
      zones[zone].to_callers.Add(traffic.to_callers);
    }
  }
  for (const auto& [zone, traffic] : zones) {
    const std::string name = zone ? process.ZoneName(*zone) : "none";
    traffic.to_agents.Write("to_agent", name, metrics);
    traffic.to_callers.Write("to_caller", name, metrics);
  }
}

void BalancerReport::AddState(const Configuration& configuration,
                              const ProcessReport& process,
                              TimePoint now,
                              nlohmann::ordered_json* state) {
  const auto merged = MergedTargets();
  Json targets = Json::array();
  for (const TargetSettings& settings : configuration.targets) {
    Json target = {{"id", static_cast<std::uint32_t>(settings.id)},
                   {"service", static_cast<std::uint32_t>(settings.service)},
                   {"zone", process.ZoneName(settings.zone)},
                   {"agent", ToString(settings.agent)}};
    const auto found = merged.find(settings.id);
    target["candidate"] = found != merged.end();
    if (found != merged.end()) {
      const TargetSnapshot& snapshot = found->second;
      target["state"] = ToString(snapshot.state);
      target["since"] = ProcessReport::FormatWallTime(
          m_target_states.Record(settings.id, snapshot.state, now), now);
      target["eligibility"] = ToString(snapshot.eligibility);
      target["suspect"] = snapshot.suspect;
      target["report_fresh"] = snapshot.load_fresh;
      target["open_flows"] = snapshot.open_flows;
      target["opens_under_way"] = snapshot.opens_under_way;
    }
    targets.push_back(std::move(target));
  }
  (*state)["targets"] = std::move(targets);
  Json services = Json::array();
  for (const auto& [id, service] : MergedServices()) {
    services.push_back({{"id", static_cast<std::uint32_t>(id)},
                        {"candidates", service.candidates},
                        {"open_retry_budget", service.retries_available}});
  }
  (*state)["services"] = std::move(services);
  Json drops;
  const auto total = TotalDrops();
  for (std::size_t i = 0; i < total.size(); ++i) {
    drops[ToString(static_cast<DropReason>(i))] = total[i];
  }
  (*state)["dropped_packets"] = std::move(drops);
}

}  // namespace fireflytrestle
