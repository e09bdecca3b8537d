#include "librouting/targetrecord.h"

namespace fireflytrestle {

namespace {

// A target that refuses all flows causes at most about 4 retries per second on
// each balancer. That is well below the 10 per second that the retry budget
// grants even if no attempt succeeds.
constexpr std::chrono::milliseconds kHoldOffTime{250};
// Equal to the time for which a load report is fresh
// (TargetLoad::kReportLifetime).
constexpr std::chrono::seconds kDrainingExclusion{10};
// Short, because an agent that is out or has no upstream may recover at any
// time and has no flows whose packets would report the new state.
constexpr std::chrono::seconds kUnavailableExclusion{1};
constexpr std::chrono::seconds kProbeInterval{1};

/// Lengthens \p base by up to one half; \p jitter is in [0, 1).
Duration WithJitter(Duration base, double jitter) {
  return base + std::chrono::duration_cast<Duration>(base * (jitter / 2));
}

}  // namespace

void TargetRecord::OnReturn(const AgentStatus& status,
                            TimePoint now,
                            double jitter) {
  OnStatus(status, now, jitter);
  if (status.state == TargetState::kFull) {
    HoldOff(now, jitter);
  } else if (status.state == TargetState::kWarm) {
    m_held_off_until = now;
  }
}

void TargetRecord::OnBounce(const AgentStatus& status,
                            TimePoint now,
                            double jitter) {
  OnOpenAnswered();
  OnStatus(status, now, jitter);
  HoldOff(now, jitter);
}

void TargetRecord::OnOpenSent(TimePoint now, double jitter) {
  m_load.OnOpenSent(now);
  m_health.OnOpenSent(now, WithJitter(kProbeInterval, jitter));
}

Eligibility TargetRecord::EligibilityAt(TimePoint now) const {
  if (now < m_excluded_until) {
    return Eligibility::kExcluded;
  }
  if (m_health.IsSuspect(now)) {
    return m_health.IsProbeDue(now) ? Eligibility::kProbeDue
                                    : Eligibility::kExcluded;
  }
  if (m_health.IsAnswerOverdue(now)) {
    return m_health.IsProbeDue(now) ? Eligibility::kProbeDue
                                    : Eligibility::kHeldOff;
  }
  return now < m_held_off_until ? Eligibility::kHeldOff : Eligibility::kReady;
}

void TargetRecord::OnStatus(const AgentStatus& status,
                            TimePoint now,
                            double jitter) {
  m_load.OnReport(status.open_flows, now);
  m_health.OnAnswer();
  m_state = status.state;
  m_excluded_until = now;
  if (status.state == TargetState::kDraining) {
    m_excluded_until = now + kDrainingExclusion;
  } else if (status.state == TargetState::kOut ||
             status.state == TargetState::kUnavailable) {
    m_excluded_until = now + WithJitter(kUnavailableExclusion, jitter);
  }
}

void TargetRecord::HoldOff(TimePoint now, double jitter) {
  m_held_off_until = now + WithJitter(kHoldOffTime, jitter);
}

}  // namespace fireflytrestle
