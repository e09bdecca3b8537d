#ifndef FIREFLYTRESTLE_LIBAGENT_ADMISSIONCONTROL_H_
#define FIREFLYTRESTLE_LIBAGENT_ADMISSIONCONTROL_H_

#include <cstdint>

#include "libbase/slidingwindowlimiter.h"
#include "libconfig/configuration.h"

namespace fireflytrestle {

/// \brief Bounds the load on one upstream: flows, connections a second and
/// requests at once, with less of each after a cold start.
///
/// After a cold start the number of requests at once grows step by step over
/// the warm-up time. A step is held back while responses take much longer than
/// the first ones did, or while none comes.
class AdmissionControl {
 public:
  enum class FlowAdmission { kAdmitted, kFull, kCold };

  /// Starts cold; admits nothing before SetLimits().
  explicit AdmissionControl(TimePoint now) : m_step_started(now) {}

  void SetLimits(const TargetSettings& settings);

  void BeginColdStart(TimePoint now);
  /// The upstream shed a request: it gets no more than after a cold start, and
  /// less if it had no more than that already.
  void OnShed(TimePoint now);
  /// An order was answered after \p response_time.
  void OnResponse(Duration response_time);
  /// Grows the limit when a step is over. \p running is the number of requests
  /// at the upstream.
  void OnTick(std::uint32_t running, TimePoint now);

  bool is_cold() const { return m_cold; }
  std::uint32_t request_limit() const { return m_request_limit; }
  std::uint32_t queue_limit() const {
    return kQueuedRequestsPerSlot * m_limits.slots;
  }
  std::uint32_t flow_limit() const { return m_limits.connections; }

  FlowAdmission AdmitFlow(std::uint32_t open_flows, TimePoint now);

  /// Whether one more connection to the upstream may be opened, when
  /// \p unverified are open that have not shown yet which start of the upstream
  /// they reached. Those are bounded too, so that an upstream which has
  /// restarted unnoticed gets no more than its allowance.
  bool AllowsConnection(std::uint32_t unverified, TimePoint now);
  void OnConnectionRequested(TimePoint now);

 private:
  static constexpr std::chrono::milliseconds kFlowRateWindow{1000};
  /// Longer than the second that the allowance is stated for, because an
  /// upstream that is busy accepts connections up to a quarter second late.
  static constexpr std::chrono::milliseconds kConnectionRateWindow{1250};
  static constexpr std::uint32_t kQueuedRequestsPerSlot = 8;
  /// Responses after a cold start that give the reference response time.
  static constexpr int kReferenceResponses = 8;
  /// A step is held back while responses take longer than twice the reference
  /// and this; below it scheduling noise dominates.
  static constexpr std::chrono::milliseconds kResponseTimeTolerance{5};

  bool IsSlow(std::uint32_t running) const;
  void StartStep(TimePoint now);
  Duration StepLength() const;

  TargetSettings m_limits;
  bool m_has_limits = false;
  bool m_cold = true;
  std::uint32_t m_request_limit = 0;
  TimePoint m_step_started;
  Duration m_reference_sum{};
  int m_reference_count = 0;
  Duration m_step_sum{};
  int m_step_count = 0;
  SlidingWindowLimiter m_flow_rate{kFlowRateWindow};
  SlidingWindowLimiter m_connection_rate{kConnectionRateWindow};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_ADMISSIONCONTROL_H_
