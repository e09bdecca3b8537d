#ifndef FIREFLYTRESTLE_LIBNET_FLOWREPORT_H_
#define FIREFLYTRESTLE_LIBNET_FLOWREPORT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "libflow/flowdecision.h"

namespace fireflytrestle {

class Logger;
class MetricsWriter;

/// \brief Counts decisions on flows by kind and reason, and logs them. May be
/// used by all threads.
class FlowReport {
 public:
  /// \p logger must outlive the report.
  explicit FlowReport(Logger* logger) : m_logger(logger) {}

  void Record(const FlowDecision& decision);

  void WriteMetrics(MetricsWriter* metrics) const;

 private:
  Logger* m_logger;
  mutable std::mutex m_mutex;
  std::map<std::pair<FlowDecision::Kind, std::string>, std::uint64_t> m_counts;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FLOWREPORT_H_
