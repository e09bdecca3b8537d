#ifndef FIREFLYTRESTLE_LIBNET_METRICSWRITER_H_
#define FIREFLYTRESTLE_LIBNET_METRICSWRITER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>

namespace fireflytrestle {

class LatencyHistogram;

/// \brief Collects metric values and formats them in the Prometheus text
/// format.
class MetricsWriter {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  void Counter(const std::string& name,
               const std::string& help,
               double value,
               const Labels& labels = {});
  void Gauge(const std::string& name,
             const std::string& help,
             double value,
             const Labels& labels = {});

  /// Adds \p times as a histogram in seconds.
  void Histogram(const std::string& name,
                 const std::string& help,
                 const LatencyHistogram& times);

  /// Returns all values added so far.
  std::string Write() const;

 private:
  prometheus::ClientMetric* Add(prometheus::MetricType type,
                                const std::string& name,
                                const std::string& help,
                                const Labels& labels);

  std::vector<prometheus::MetricFamily> m_families;
  std::map<std::string, std::size_t> m_index;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_METRICSWRITER_H_
