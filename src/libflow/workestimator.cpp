#include "libflow/workestimator.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Each sample enters a moving average with a weight of 1 / kWorkSamples; the
/// first samples of a class with more, since the initial value is a guess.
constexpr int kWorkSamples = 16;
/// Samples are limited to this multiple of the average: few requests take many
/// times the mean, and one of them must not change the estimate much.
constexpr int kMaxSampleFactor = 5;
/// Number of answers after which the work of a class is known.
constexpr int kMinSamples = 4;
/// The least recently seen class is dropped beyond this number; changes of the
/// configuration create new classes.
constexpr std::size_t kMaxClasses = 16;

void AddSample(Duration sample, int weight, Duration* average) {
  const Duration limited = std::min(sample, *average * kMaxSampleFactor);
  *average += (limited - *average) / weight;
}

}  // namespace

void WorkEstimator::OnAnswer(const FlowClass& flow_class, Duration time) {
  AddSample(time, kWorkSamples, &m_average);
  const auto position = std::find_if(
      m_classes.begin(), m_classes.end(),
      [&](const auto& each) { return each.flow_class == flow_class; });
  if (position != m_classes.end()) {
    position->samples = std::min(position->samples + 1, kWorkSamples - 1);
    AddSample(time, position->samples + 1, &position->average);
    std::rotate(position, position + 1, m_classes.end());
    return;
  }
  if (m_classes.size() == kMaxClasses) {
    m_classes.erase(m_classes.begin());
  }
  m_classes.push_back({flow_class, m_average, 1});
  AddSample(time, 2, &m_classes.back().average);
}

Duration WorkEstimator::Expected(const FlowClass& flow_class) const {
  const auto position = std::find_if(
      m_classes.begin(), m_classes.end(),
      [&](const auto& each) { return each.flow_class == flow_class; });
  return position == m_classes.end() ? m_average : position->average;
}

bool WorkEstimator::Knows(const FlowClass& flow_class) const {
  return std::any_of(m_classes.begin(), m_classes.end(), [&](const auto& each) {
    return each.flow_class == flow_class && each.samples >= kMinSamples;
  });
}

}  // namespace fireflytrestle
