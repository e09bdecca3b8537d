#include "libflow/recentwork.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Samples are limited to this multiple of the average: few requests take many
/// times the mean, and one of them must not make the upstream seem slow.
constexpr int kMaxSampleFactor = 5;
/// Shorter samples are never cut: after some of 0, as of answers that are read
/// in one turn, all would be.
constexpr std::chrono::milliseconds kMinLimit{1};
/// Weight of one sample, as 1 / n.
constexpr int kSamples = 32;
/// Samples at longer intervals have more weight, so that a change of speed is
/// known after about this time at any rate of requests, up to 1 / n.
constexpr std::chrono::milliseconds kChangeTime{1000};
constexpr int kMinSamplesInWeight = 4;

}  // namespace

void RecentWork::OnAnswer(Duration work, TimePoint now) {
  if (IsForgotten(now)) {
    m_samples = 0;
  }
  const Duration limited =
      m_samples == 0
          ? work
          : std::min(work, std::max<Duration>(m_average * kMaxSampleFactor,
                                              kMinLimit));
  const Duration interval =
      std::max(now - m_last_answer, Duration(kChangeTime) / kSamples);
  const auto by_interval = static_cast<int>(kChangeTime / interval);
  m_samples = std::min(m_samples + 1, kSamples);
  m_average += (limited - m_average) /
               std::min(std::max(by_interval, kMinSamplesInWeight), m_samples);
  m_last_answer = now;
  m_last_use = now;
}

std::optional<Duration> RecentWork::Average(TimePoint now) const {
  if (m_samples < kMinSamples || IsForgotten(now)) {
    return std::nullopt;
  }
  return m_average;
}

}  // namespace fireflytrestle
