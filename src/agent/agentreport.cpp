#include "agent/agentreport.h"

#include <nlohmann/json.hpp>

#include "libconfig/configuration.h"
#include "libnet/metricswriter.h"
#include "libnet/processreport.h"

namespace fireflytrestle {

namespace {

using Json = nlohmann::ordered_json;

const TargetSettings* FindTarget(const Configuration& configuration,
                                 TargetId id) {
  for (const TargetSettings& target : configuration.targets) {
    if (target.id == id) {
      return &target;
    }
  }
  return nullptr;
}

}  // namespace

void AgentReport::Record(const AgentSnapshot& snapshot, TimePoint now) {
  m_snapshot = snapshot;
  m_states.Record(m_target, snapshot.statistics.state, now);
}

std::string AgentReport::ZoneName(const Configuration& configuration,
                                  const ProcessReport& process) const {
  const TargetSettings* target = FindTarget(configuration, m_target);
  return target == nullptr ? "none" : process.ZoneName(target->zone);
}

void AgentReport::WriteMetrics(const Configuration& configuration,
                               const ProcessReport& process,
                               MetricsWriter* metrics) const {
  const std::string zone = ZoneName(configuration, process);
  metrics->Gauge(
      "agent_info", "Target of the agent; the value is always 1", 1,
      {{"target", std::to_string(static_cast<std::uint32_t>(m_target))},
       {"zone", zone},
       {"state", ToString(m_snapshot.statistics.state)}});
  WriteFlows(zone, metrics);
  WriteRequests(zone, metrics);
  WriteUpstream(zone, metrics);
  WriteDrops(metrics);
  m_snapshot.received.Write("to_agent", zone, metrics);
  m_snapshot.sent.Write("to_caller", zone, metrics);
}

void AgentReport::WriteFlows(const std::string& zone,
                             MetricsWriter* metrics) const {
  const AgentStatistics& statistics = m_snapshot.statistics;
  const MetricsWriter::Labels labels = {{"zone", zone}};
  metrics->Gauge("open_flows", "Flows of the agent", statistics.open_flows,
                 labels);
  metrics->Counter("accepted_flows_total", "Flows opened",
                   static_cast<double>(statistics.accepted_flows), labels);
  metrics->Counter("bounced_flows_total", "OPENs returned to the balancer",
                   static_cast<double>(statistics.bounced_flows), labels);
  metrics->Counter("resets_sent_total",
                   "RESETs sent: each answers a packet of a flow that does not "
                   "exist here",
                   static_cast<double>(statistics.resets_sent), labels);
}

void AgentReport::WriteRequests(const std::string& zone,
                                MetricsWriter* metrics) const {
  const AgentStatistics& statistics = m_snapshot.statistics;
  const auto gauge = [&](const char* state, double value) {
    metrics->Gauge("requests", "Requests under way by state", value,
                   {{"zone", zone}, {"state", state}});
  };
  gauge("running", statistics.running_requests);
  gauge("queued", statistics.queued_requests);
  metrics->Gauge("request_limit", "Requests that may run at once at present",
                 statistics.request_limit, {{"zone", zone}});
  const auto count = [&](const char* outcome, std::uint64_t value) {
    metrics->Counter("requests_total", "Requests by what became of them",
                     static_cast<double>(value),
                     {{"zone", zone}, {"outcome", outcome}});
  };
  count("answered", statistics.answered_requests);
  count("refused", statistics.refused_requests);
  count("unknown", statistics.unknown_outcomes);
  count("cancelled", statistics.cancelled_requests);
  count("expired", statistics.expired_requests);
  metrics->Counter("duplicate_requests_total",
                   "Retransmitted REQUESTs answered from the ledger",
                   static_cast<double>(statistics.duplicate_requests),
                   {{"zone", zone}});
}

void AgentReport::WriteUpstream(const std::string& zone,
                                MetricsWriter* metrics) const {
  const AgentStatistics& statistics = m_snapshot.statistics;
  const auto count = [&](const char* name, const char* help,
                         std::uint64_t value) {
    metrics->Counter(name, help, static_cast<double>(value), {{"zone", zone}});
  };
  metrics->Gauge("upstream_connections", "TCP connections to the upstream",
                 static_cast<double>(m_snapshot.upstream_connections),
                 {{"zone", zone}});
  count("upstream_replaced_connections_total",
        "Connections replaced because they were lost or silent",
        statistics.replaced_connections);
  count("upstream_malformed_total",
        "Frames of the upstream that are no message; each closed its "
        "connection",
        m_snapshot.upstream_malformed);
  count("cold_starts_total", "Cold starts of the upstream that were noticed",
        statistics.cold_starts);
  count("upstream_retries_total", "Requests sent to the upstream again",
        statistics.upstream_retries);
  count("request_retry_budget_exhausted_total",
        "Requests not sent again because the retry budget was exhausted",
        statistics.retry_budget_exhausted);
  metrics->Gauge("request_retry_budget",
                 "Retries of requests that would be granted at once",
                 statistics.retries_available, {{"zone", zone}});
}

void AgentReport::WriteDrops(MetricsWriter* metrics) const {
  const AgentStatistics& statistics = m_snapshot.statistics;
  const auto add = [&](const char* reason, std::uint64_t value) {
    metrics->Counter("dropped_packets_total", "Datagrams dropped by reason",
                     static_cast<double>(value), {{"reason", reason}});
  };
  add("malformed", statistics.dropped_malformed);
  add("foreign", statistics.dropped_foreign);
  add("beyond_window", statistics.dropped_beyond_window);
  add("view_not_confirmed", statistics.dropped_view_not_confirmed);
  add("zone_out", statistics.dropped_zone_out);
  add("lease_expired_before_send", m_snapshot.unsent_lease_expired);
  add("send_failed", m_snapshot.send_failures);
  add("oversized", m_snapshot.oversized);
}

void AgentReport::AddState(const Configuration& configuration,
                           const ProcessReport& process,
                           TimePoint now,
                           nlohmann::ordered_json* state) {
  const AgentStatistics& statistics = m_snapshot.statistics;
  const TargetSettings* target = FindTarget(configuration, m_target);
  (*state)["target"] = {
      {"id", static_cast<std::uint32_t>(m_target)},
      {"configured", target != nullptr},
      {"service", target == nullptr
                      ? Json()
                      : Json(static_cast<std::uint32_t>(target->service))},
      {"zone", ZoneName(configuration, process)},
      {"state", ToString(statistics.state)},
      {"since", ProcessReport::FormatWallTime(
                    m_states.Record(m_target, statistics.state, now), now)}};
  (*state)["flows"] = {{"open", statistics.open_flows},
                       {"accepted", statistics.accepted_flows},
                       {"bounced", statistics.bounced_flows},
                       {"resets_sent", statistics.resets_sent}};
  (*state)["requests"] = {{"running", statistics.running_requests},
                          {"queued", statistics.queued_requests},
                          {"limit", statistics.request_limit},
                          {"answered", statistics.answered_requests},
                          {"refused", statistics.refused_requests},
                          {"unknown", statistics.unknown_outcomes},
                          {"expired", statistics.expired_requests},
                          {"retry_budget", statistics.retries_available}};
  (*state)["upstream"] = {{"connections", m_snapshot.upstream_connections},
                          {"cold_starts", statistics.cold_starts},
                          {"replaced", statistics.replaced_connections}};
  (*state)["dropped_packets"] = {
      {"malformed", statistics.dropped_malformed},
      {"foreign", statistics.dropped_foreign},
      {"beyond_window", statistics.dropped_beyond_window},
      {"view_not_confirmed", statistics.dropped_view_not_confirmed},
      {"zone_out", statistics.dropped_zone_out},
      {"lease_expired_before_send", m_snapshot.unsent_lease_expired}};
}

}  // namespace fireflytrestle
