#ifndef FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_
#define FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_

#include <chrono>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Judges an upstream by what becomes of its requests.
///
/// An upstream that breaks requests off at once always has free slots, so that
/// it would draw most new flows. Once too many of its requests fail it gets
/// single flows as a trial, at growing intervals, until enough of them are
/// answered.
class UpstreamHealth {
 public:
  /// First time between two trials; doubled with each one that fails.
  static constexpr std::chrono::milliseconds kMinProbeInterval{200};
  static constexpr std::chrono::milliseconds kMaxProbeInterval{1600};

  void OnAnswer();
  /// The upstream broke a request or an opening flow off.
  void OnFailure(TimePoint now);

  bool IsFailing() const;

  /// Whether the upstream may get a new flow now; counts it as a trial if the
  /// upstream is failing.
  bool TryAdmit(TimePoint now);

 private:
  /// Moving average: 0 if all requests were answered, 1 if none.
  double m_failed_share = 0.0;
  std::chrono::milliseconds m_probe_interval = kMinProbeInterval;
  TimePoint m_next_probe{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_UPSTREAMHEALTH_H_
