#include "libnet/metricswriter.h"

#include <prometheus/text_serializer.h>

#include <limits>

#include "libbase/latencyhistogram.h"

namespace fireflytrestle {

namespace {

constexpr char kPrefix[] = "fireflytrestle_";
constexpr double kMsPerSecond = 1000.0;

}  // namespace

prometheus::ClientMetric* MetricsWriter::Add(prometheus::MetricType type,
                                             const std::string& name,
                                             const std::string& help,
                                             const Labels& labels) {
  const auto [position, added] = m_index.try_emplace(name, m_families.size());
  if (added) {
    m_families.push_back({kPrefix + name, help, type, {}});
  }
  prometheus::ClientMetric& metric =
      m_families[position->second].metric.emplace_back();
  for (const auto& [label, value] : labels) {
    metric.label.push_back({label, value});
  }
  return &metric;
}

void MetricsWriter::Counter(const std::string& name,
                            const std::string& help,
                            double value,
                            const Labels& labels) {
  Add(prometheus::MetricType::Counter, name, help, labels)->counter.value =
      value;
}

void MetricsWriter::Gauge(const std::string& name,
                          const std::string& help,
                          double value,
                          const Labels& labels) {
  Add(prometheus::MetricType::Gauge, name, help, labels)->gauge.value = value;
}

void MetricsWriter::Histogram(const std::string& name,
                              const std::string& help,
                              const LatencyHistogram& times) {
  auto& histogram =
      Add(prometheus::MetricType::Histogram, name, help, {})->histogram;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < times.counts().size(); ++i) {
    total += times.counts()[i];
    const bool bounded = i < LatencyHistogram::kBoundsMs.size();
    histogram.bucket.push_back(
        {total, bounded ? LatencyHistogram::kBoundsMs[i] / kMsPerSecond
                        : std::numeric_limits<double>::infinity()});
  }
  histogram.sample_count = total;
  histogram.sample_sum = times.sum().count();
}

std::string MetricsWriter::Write() const {
  return prometheus::TextSerializer().Serialize(m_families);
}

}  // namespace fireflytrestle
