#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETRECORD_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETRECORD_H_

#include <cstdint>

#include "libconfig/configuration.h"
#include "librouting/targethealth.h"
#include "librouting/targetload.h"
#include "libwire/agentstatus.h"

namespace fireflytrestle {

/// \brief Whether a target may get a new flow, in order of preference.
enum class Eligibility : std::uint8_t {
  kReady,
  /// Recently refused a flow or reported that it is full, or its answer is
  /// overdue. Used only when no target is ready.
  kHeldOff,
  /// Its answer is overdue and the probe interval has passed: it gets a copy of
  /// an OPEN, to detect whether it answers again.
  kProbeDue,
  /// Gets no new flows: suspect and not due for a probe, draining, out, or
  /// without an upstream.
  kExcluded,
};

/// \brief Settings, load, health and last reported state of one target.
class TargetRecord {
 public:
  explicit TargetRecord(const TargetSettings& settings)
      : m_settings(settings) {}

  void Reconfigure(const TargetSettings& settings) { m_settings = settings; }

  /// Called when the target answers an OPEN with ACCEPTED or BOUNCE.
  void OnOpenAnswered() { m_load.OnOpenAnswered(); }
  /// Records the status in a RETURN. \p jitter in [0, 1) lengthens the hold-off
  /// and exclusion times, so that balancers do not all use the target again at
  /// the same moment.
  void OnReturn(const AgentStatus& status, TimePoint now, double jitter);
  /// Records the status in a BOUNCE and holds the target off.
  void OnBounce(const AgentStatus& status, TimePoint now, double jitter);
  void OnOpenSent(TimePoint now, double jitter);
  void OnPingSent(TimePoint now) { m_health.OnPingSent(now); }

  Eligibility EligibilityAt(TimePoint now) const;

  const TargetSettings& settings() const { return m_settings; }
  const TargetLoad& load() const { return m_load; }
  const TargetHealth& health() const { return m_health; }
  /// Last reported state; kWarm before the first report.
  TargetState state() const { return m_state; }

 private:
  void OnStatus(const AgentStatus& status, TimePoint now, double jitter);
  void HoldOff(TimePoint now, double jitter);

  TargetSettings m_settings;
  TargetLoad m_load;
  TargetHealth m_health;
  TargetState m_state = TargetState::kWarm;
  TimePoint m_excluded_until;
  TimePoint m_held_off_until;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETRECORD_H_
