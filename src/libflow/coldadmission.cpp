#include "libflow/coldadmission.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// For this long the flows that an earlier process admitted still count.
constexpr std::chrono::seconds kUnknownPast{1};
constexpr std::uint32_t kMilli = 1000;
/// Flows of the last second that are kept while the upstream is warm: it may
/// turn out cold at any moment.
constexpr std::uint32_t kMaxCounted = 1000;

}  // namespace

void ColdAdmission::SetCold(TimePoint until, std::uint32_t rate_milli) {
  m_until = until;
  m_rate_milli = rate_milli;
}

bool ColdAdmission::TryAdmit(TimePoint now) {
  if (IsCold(now)) {
    const std::uint32_t limit = std::max(m_rate_milli / kMilli, 1U);
    if (now - m_started < kUnknownPast || !m_admitted.Allows(limit, now)) {
      return false;
    }
  }
  m_admitted.Record(kMaxCounted, now);
  return true;
}

}  // namespace fireflytrestle
