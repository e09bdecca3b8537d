#ifndef FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_
#define FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_

#include <cstdint>

#include "libbase/clock.h"
#include "libbase/slidingwindowlimiter.h"

namespace fireflytrestle {

/// \brief Limits the rate of new flows to an upstream during its cold start,
/// summed over all balancers. The limit is applied by the agent, the only
/// process that sees all flows of the upstream.
class ColdStartLimiter {
 public:
  /// \p now is the start time of this process, which has no record of the flows
  /// that the upstream received in the second before.
  explicit ColdStartLimiter(TimePoint now) : m_started(now) {}

  /// Sets the end of the cold start and the limit \p rate_milli in thousandths
  /// of a flow per second; 0 for no limit.
  void SetColdStart(TimePoint until, std::uint32_t rate_milli);

  bool IsCold(TimePoint now) const { return m_rate_milli > 0 && now < m_until; }

  /// Returns whether a new flow may go to the upstream now, and counts it if
  /// so.
  bool TryAdmit(TimePoint now);

 private:
  TimePoint m_started;
  TimePoint m_until{};
  std::uint32_t m_rate_milli = 0;
  /// The limit holds for any period of one second.
  SlidingWindowLimiter m_admitted{std::chrono::seconds(1)};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_COLDSTARTLIMITER_H_
