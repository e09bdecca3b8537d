#ifndef FIREFLYTRESTLE_LIBNET_FLOWTELEMETRY_H_
#define FIREFLYTRESTLE_LIBNET_FLOWTELEMETRY_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "libbase/clock.h"
#include "libbase/latencyhistogram.h"
#include "libflow/flowdecision.h"
#include "libflow/flowmeasurement.h"

namespace fireflytrestle {

class Logger;
class MetricsWriter;

/// \brief Logs decisions on flows, counts them by kind and reason, and records
/// flow latencies for the metrics. Thread-safe.
class FlowTelemetry {
 public:
  /// \p logger must outlive this object.
  explicit FlowTelemetry(Logger* logger) : m_logger(logger) {}

  void Record(const FlowDecision& decision);
  void Measure(FlowMeasurement measurement, Duration time);

  void WriteMetrics(MetricsWriter* metrics) const;

 private:
  Logger* m_logger;
  mutable std::mutex m_mutex;
  std::map<std::pair<FlowDecision::Kind, std::string>, std::uint64_t> m_counts;
  /// By priority and outcome.
  std::map<std::pair<std::uint8_t, std::string>, std::uint64_t> m_requests;
  std::array<LatencyHistogram, kFlowMeasurements> m_times;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWTELEMETRY_H_
