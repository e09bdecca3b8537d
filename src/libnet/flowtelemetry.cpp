#include "libnet/flowtelemetry.h"

#include <algorithm>

#include "libbase/logger.h"
#include "libnet/metricswriter.h"

namespace fireflytrestle {

namespace {

using Kind = FlowDecision::Kind;

LogLevel LevelOf(Kind kind) {
  switch (kind) {
    case Kind::kReset:
    case Kind::kPeerSilent:
      return LogLevel::kWarning;
    default:
      return LogLevel::kInfo;
  }
}

/// Returns what a decision on a request means to its caller.
const char* OutcomeOf(const FlowDecision& decision) {
  if (decision.kind != Kind::kReleased) {
    return "turned_away";
  }
  return decision.late ? "released_late" : "released_in_time";
}

std::string FlowName(const FlowTuple& tuple) {
  return ToString(tuple.caller) + ">" + ToString(tuple.route);
}

}  // namespace

void FlowTelemetry::Record(const FlowDecision& decision) {
  {
    const std::scoped_lock lock(m_mutex);
    ++m_counts[{decision.kind, decision.reason}];
    if (decision.priority) {
      ++m_requests[{*decision.priority, OutcomeOf(decision)}];
    }
  }
  const auto age = static_cast<std::uint64_t>(
      std::max<std::int64_t>(decision.report_age.count(), 0));
  m_logger->Write(
      LevelOf(decision.kind), ToString(decision.kind), decision.reason,
      {{LogKey::kFlow, decision.tuple == FlowTuple{}
                           ? std::string()
                           : FlowName(decision.tuple)},
       {LogKey::kPeer, decision.peer == SocketAddress{}
                           ? std::string()
                           : ToString(decision.peer)},
       {LogKey::kService, std::string(decision.service)},
       {LogKey::kRunning, std::uint64_t{decision.running}},
       {LogKey::kReportAgeMs, age},
       {LogKey::kState, std::string(decision.peer_phase)},
       {LogKey::kRequestedMs,
        static_cast<std::uint64_t>(decision.requested_for.count())},
       {LogKey::kWaitedMs, static_cast<std::uint64_t>(decision.waited.count())},
       {LogKey::kVersion, decision.configuration_version}});
}

void FlowTelemetry::Measure(FlowMeasurement measurement, Duration time) {
  const std::scoped_lock lock(m_mutex);
  m_times[static_cast<std::size_t>(measurement)].Record(time);
}

void FlowTelemetry::WriteMetrics(MetricsWriter* metrics) const {
  const std::scoped_lock lock(m_mutex);
  const auto write = [&](FlowMeasurement measurement, const char* name,
                         const char* help) {
    const auto& times = m_times[static_cast<std::size_t>(measurement)];
    metrics->Histogram(name, help, times);
  };
  write(FlowMeasurement::kOpening, "flow_opening_seconds",
        "Time from a flow's SYN to the caller's next packet");
  write(FlowMeasurement::kAnswer, "request_answer_seconds",
        "Time from the delivery of a request to the first data of its answer");
  write(FlowMeasurement::kWait, "request_wait_seconds",
        "Time that requests waited for a slot of the upstream");
  write(FlowMeasurement::kExpectedWait, "request_expected_wait_seconds",
        "The same as expected at their arrival, behind all that waited");
  for (const auto& [key, count] : m_requests) {
    metrics->Counter(
        "requests_by_priority_total",
        "Requests that waited or were refused, by priority and outcome",
        static_cast<double>(count),
        {{"priority", std::to_string(key.first)}, {"outcome", key.second}});
  }
  for (const auto& [key, count] : m_counts) {
    metrics->Counter(
        "flow_decisions_total", "Decisions on flows by kind and reason",
        static_cast<double>(count),
        {{"decision", ToString(key.first)}, {"reason", key.second}});
  }
}

}  // namespace fireflytrestle
