#include "libflow/upstreamhealth.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Weight of one request in the moving average.
constexpr double kSampleWeight = 0.125;
/// Three failures in a row reach it, single ones among answers do not.
constexpr double kFailingShare = 0.3;

}  // namespace

void UpstreamHealth::OnAnswer() {
  m_failed_share -= m_failed_share * kSampleWeight;
  m_interval = kFirstInterval;
}

void UpstreamHealth::OnFailure(TimePoint now) {
  const bool was_failing = IsFailing();
  m_failed_share += (1.0 - m_failed_share) * kSampleWeight;
  if (!IsFailing()) {
    return;
  }
  if (was_failing) {
    m_interval = std::min(m_interval * 2, kLongestInterval);
  }
  m_next_trial = now + m_interval;
}

bool UpstreamHealth::IsFailing() const {
  return m_failed_share > kFailingShare;
}

bool UpstreamHealth::TryAdmit(TimePoint now) {
  if (!IsFailing()) {
    return true;
  }
  if (now < m_next_trial) {
    return false;
  }
  m_next_trial = now + m_interval;
  return true;
}

}  // namespace fireflytrestle
