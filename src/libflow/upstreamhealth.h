#ifndef FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_
#define FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_

#include <chrono>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Health of an upstream, derived from the outcomes of its requests.
///
/// An upstream that resets requests at once always has free slots, so that it
/// would attract most new flows. One that leaves a part of them unanswered
/// passes its liveness check. Once too many of its requests fail, it gets
/// only single flows as probes, at growing intervals, until enough of them are
/// answered.
class UpstreamHealth {
 public:
  /// First interval between two probes; doubled with each probe that fails.
  static constexpr std::chrono::milliseconds kMinProbeInterval{200};
  static constexpr std::chrono::milliseconds kMaxProbeInterval{1600};

  void OnAnswer();
  /// Records that the upstream reset a request or an opening flow, or has not
  /// answered a request that it could start at once.
  void OnFailure(TimePoint now);

  bool IsFailing() const;

  /// Whether the upstream may get a new flow now; counts the flow as a probe if
  /// the upstream is failing.
  bool TryAdmit(TimePoint now);

 private:
  /// Moving average of the share of failed requests: 0 if all requests were
  /// answered, 1 if none.
  double m_failed_share = 0.0;
  std::chrono::milliseconds m_probe_interval = kMinProbeInterval;
  TimePoint m_next_probe{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_
