#ifndef FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_
#define FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_

#include <cstdint>

#include "libbase/clock.h"
#include "libbase/slidingwindowlimiter.h"

namespace fireflytrestle {

/// \brief Limits the new flows of a cold upstream, summed over all balancers:
/// only the process beside the upstream sees them all.
class ColdStartLimiter {
 public:
  /// \p now is the start of this process, which does not know what the upstream
  /// got in the second before.
  explicit ColdStartLimiter(TimePoint now) : m_started(now) {}

  /// \p rate is in thousandths of a flow a second; 0 for no limit.
  void SetColdStart(TimePoint until, std::uint32_t rate_milli);

  bool IsCold(TimePoint now) const { return m_rate_milli > 0 && now < m_until; }

  /// Returns whether a new flow may go to the upstream now, and counts it.
  bool TryAdmit(TimePoint now);

 private:
  TimePoint m_started;
  TimePoint m_until{};
  std::uint32_t m_rate_milli = 0;
  /// What an upstream bears is stated for any span of a second.
  SlidingWindowLimiter m_admitted{std::chrono::seconds(1)};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_
