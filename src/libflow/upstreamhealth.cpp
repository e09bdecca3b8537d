#include "libflow/upstreamhealth.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Weight of one request in the moving average.
constexpr double kSampleWeight = 0.125;
/// Failed share above which an upstream is failing. Three failures in a row
/// exceed it, single failures among answers do not.
constexpr double kFailingThreshold = 0.3;

}  // namespace

void UpstreamHealth::OnAnswer() {
  m_failed_share -= m_failed_share * kSampleWeight;
  m_probe_interval = kMinProbeInterval;
}

void UpstreamHealth::OnFailure(TimePoint now) {
  const bool was_failing = IsFailing();
  m_failed_share += (1.0 - m_failed_share) * kSampleWeight;
  if (!IsFailing()) {
    return;
  }
  if (was_failing) {
    m_probe_interval = std::min(m_probe_interval * 2, kMaxProbeInterval);
  }
  m_next_probe = now + m_probe_interval;
}

bool UpstreamHealth::IsFailing() const {
  return m_failed_share > kFailingThreshold;
}

bool UpstreamHealth::TryAdmit(TimePoint now) {
  if (!IsFailing()) {
    return true;
  }
  if (now < m_next_probe) {
    return false;
  }
  m_next_probe = now + m_probe_interval;
  return true;
}

}  // namespace fireflytrestle
