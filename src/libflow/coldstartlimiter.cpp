#include "libflow/coldstartlimiter.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// No flow is admitted to a cold upstream for this long after the start,
/// because flows that an earlier process admitted still count towards the
/// limit.
constexpr std::chrono::seconds kPreviousProcessWindow{1};
constexpr std::uint32_t kMilli = 1000;
/// Flows of the last second that are counted even while the upstream is warm,
/// since it may be reported as cold at any moment.
constexpr std::uint32_t kMaxCountedFlows = 1000;

}  // namespace

void ColdStartLimiter::SetColdStart(TimePoint until, std::uint32_t rate_milli) {
  m_until = until;
  m_rate_milli = rate_milli;
}

bool ColdStartLimiter::TryAdmit(TimePoint now) {
  if (IsCold(now)) {
    const std::uint32_t limit = std::max(m_rate_milli / kMilli, 1U);
    if (now - m_started < kPreviousProcessWindow ||
        !m_admitted.Allows(limit, now)) {
      return false;
    }
  }
  m_admitted.Record(kMaxCountedFlows, now);
  return true;
}

}  // namespace fireflytrestle
