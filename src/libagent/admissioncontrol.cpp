#include "libagent/admissioncontrol.h"

#include <algorithm>

namespace fireflytrestle {

void AdmissionControl::SetLimits(const TargetSettings& settings) {
  m_limits = settings;
  if (!m_has_limits) {
    m_has_limits = true;
    m_request_limit = std::min(m_limits.cold_slots, m_limits.slots);
  }
  m_request_limit =
      m_cold ? std::min(m_request_limit, m_limits.slots) : m_limits.slots;
}

void AdmissionControl::BeginColdStart(TimePoint now) {
  m_cold = true;
  m_request_limit = std::min(m_limits.cold_slots, m_limits.slots);
  m_reference_sum = {};
  m_reference_count = 0;
  StartStep(now);
}

void AdmissionControl::OnShed(TimePoint now) {
  const std::uint32_t reduced =
      m_request_limit > 1 ? m_request_limit - 1 : m_request_limit;
  BeginColdStart(now);
  m_request_limit = std::min(m_request_limit, reduced);
}

void AdmissionControl::OnResponse(Duration response_time) {
  if (!m_cold) {
    return;
  }
  if (m_reference_count < kReferenceResponses) {
    m_reference_sum += response_time;
    ++m_reference_count;
  }
  m_step_sum += response_time;
  ++m_step_count;
}

void AdmissionControl::OnTick(std::uint32_t running, TimePoint now) {
  if (!m_cold || !m_has_limits || now < m_step_started + StepLength()) {
    return;
  }
  if (IsSlow(running)) {
    StartStep(now);
    return;
  }
  m_request_limit = std::min(m_request_limit + 1, m_limits.slots);
  m_cold = m_request_limit < m_limits.slots;
  StartStep(now);
}

AdmissionControl::FlowAdmission AdmissionControl::AdmitFlow(
    std::uint32_t open_flows,
    TimePoint now) {
  if (!m_has_limits || open_flows >= m_limits.connections) {
    return FlowAdmission::kFull;
  }
  const std::uint32_t rate = m_limits.cold_flows_per_second;
  if (m_cold && !m_flow_rate.Allows(rate, now)) {
    return FlowAdmission::kCold;
  }
  m_flow_rate.Record(rate, now);
  return FlowAdmission::kAdmitted;
}

bool AdmissionControl::AllowsConnection(std::uint32_t unverified,
                                        TimePoint now) {
  const std::uint32_t rate = m_limits.cold_flows_per_second;
  return unverified < rate && (!m_cold || m_connection_rate.Allows(rate, now));
}

void AdmissionControl::OnConnectionRequested(TimePoint now) {
  m_connection_rate.Record(m_limits.cold_flows_per_second, now);
}

bool AdmissionControl::IsSlow(std::uint32_t running) const {
  if (m_step_count == 0) {
    return running > 0;
  }
  return m_step_sum / m_step_count >
         2 * (m_reference_sum / m_reference_count) + kResponseTimeTolerance;
}

void AdmissionControl::StartStep(TimePoint now) {
  m_step_started = now;
  m_step_sum = {};
  m_step_count = 0;
}

Duration AdmissionControl::StepLength() const {
  const std::uint32_t cold = std::min(m_limits.cold_slots, m_limits.slots);
  return m_limits.warmup / std::max<std::uint32_t>(m_limits.slots - cold, 1);
}

}  // namespace fireflytrestle
