#include "libflow/workestimator.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Each sample enters a moving average with a weight of 1 / kWorkSamples.
constexpr int kWorkSamples = 16;
/// Samples are limited to this multiple of the average: a longer time to an
/// answer shows the length of the upstream's queue rather than the work.
constexpr int kMaxSampleFactor = 5;
/// The least recently seen class is dropped beyond this number; changes of the
/// configuration create new classes.
constexpr std::size_t kMaxClasses = 16;

void AddSample(Duration sample, Duration* average) {
  const Duration limited = std::min(sample, *average * kMaxSampleFactor);
  *average += (limited - *average) / kWorkSamples;
}

}  // namespace

void WorkEstimator::OnAnswer(const FlowClass& flow_class, Duration time) {
  AddSample(time, &m_average);
  const auto position = std::find_if(
      m_classes.begin(), m_classes.end(),
      [&](const auto& each) { return each.flow_class == flow_class; });
  if (position != m_classes.end()) {
    AddSample(time, &position->average);
    std::rotate(position, position + 1, m_classes.end());
    return;
  }
  if (m_classes.size() == kMaxClasses) {
    m_classes.erase(m_classes.begin());
  }
  m_classes.push_back({flow_class, m_average});
}

Duration WorkEstimator::Expected(const FlowClass& flow_class) const {
  const auto position = std::find_if(
      m_classes.begin(), m_classes.end(),
      [&](const auto& each) { return each.flow_class == flow_class; });
  return position == m_classes.end() ? m_average : position->average;
}

}  // namespace fireflytrestle
