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

/// \brief Counts decisions on flows by kind and reason, and logs them. May be
/// used by all threads.
class FlowTelemetry {
 public:
  /// \p logger must outlive the report.
  explicit FlowTelemetry(Logger* logger) : m_logger(logger) {}

  void Record(const FlowDecision& decision);
  void Measure(FlowMeasurement measurement, Duration time);

  void WriteMetrics(MetricsWriter* metrics) const;

 private:
  Logger* m_logger;
  mutable std::mutex m_mutex;
  std::map<std::pair<FlowDecision::Kind, std::string>, std::uint64_t> m_counts;
  std::array<LatencyHistogram, kFlowMeasurements> m_times;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWTELEMETRY_H_
