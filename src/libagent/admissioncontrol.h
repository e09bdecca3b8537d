#ifndef FIREFLYTRESTLE_LIBAGENT_ADMISSIONCONTROL_H_
#define FIREFLYTRESTLE_LIBAGENT_ADMISSIONCONTROL_H_

#include <cstdint>

#include "libbase/slidingwindowlimiter.h"
#include "libconfig/configuration.h"

namespace fireflytrestle {

/// \brief Limits the load on one upstream: open flows, new flows and
/// connections per second, and concurrent requests.
///
/// After a cold start the rates are limited, and the limit on concurrent
/// requests starts low and grows by one per step over the warm-up time. The
/// limit does not grow while responses take much longer than the first ones
/// after the cold start, or while requests run and no response arrives.
class AdmissionControl {
 public:
  enum class FlowAdmission { kAdmitted, kFull, kCold };

  /// Starts cold; admits no flow before SetLimits().
  explicit AdmissionControl(TimePoint now) : m_step_started(now) {}

  void SetLimits(const TargetSettings& settings);

  void BeginColdStart(TimePoint now);
  /// The upstream rejected a request because of overload. Begins a cold start
  /// with a request limit below the previous one, unless that was 1.
  void OnShed(TimePoint now);
  /// Records the response time of an order.
  void OnResponse(Duration response_time);
  /// Raises the request limit at the end of a step. \p running is the number of
  /// requests at the upstream.
  void OnTick(std::uint32_t running, TimePoint now);

  bool is_cold() const { return m_cold; }
  std::uint32_t request_limit() const { return m_request_limit; }
  std::uint32_t queue_limit() const {
    return kQueuedRequestsPerSlot * m_limits.slots;
  }
  std::uint32_t flow_limit() const { return m_limits.connections; }

  FlowAdmission AdmitFlow(std::uint32_t open_flows, TimePoint now);

  /// Whether one more connection to the upstream may be opened. \p unverified
  /// is the number of connections on which the upstream has not sent its start
  /// identity yet. It is limited to one second's allowance, so that an upstream
  /// whose restart has not been detected does not receive more connections than
  /// a cold start allows.
  bool AllowsConnection(std::uint32_t unverified, TimePoint now);
  void OnConnectionRequested(TimePoint now);

 private:
  static constexpr std::chrono::milliseconds kFlowRateWindow{1000};
  /// Longer than the one second that the allowance applies to, because a busy
  /// upstream accepts connections up to 250 ms late.
  static constexpr std::chrono::milliseconds kConnectionRateWindow{1250};
  static constexpr std::uint32_t kQueuedRequestsPerSlot = 8;
  /// Number of responses after a cold start whose average response time is the
  /// reference.
  static constexpr int kReferenceResponses = 8;
  /// The limit does not grow while the average response time exceeds twice the
  /// reference plus this tolerance, which covers scheduling noise.
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
