#ifndef FIREFLYTRESTLE_LIBAGENT_DRAINSTATE_H_
#define FIREFLYTRESTLE_LIBAGENT_DRAINSTATE_H_

#include <optional>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Combines the three sources of a drain: the upstream's own state, the
/// leaving mark in the instance list and the stop of the agent.
class DrainState {
 public:
  /// Time after the start of a drain during which queued requests are still
  /// sent to the upstream. Together with the time to detect the drain it is
  /// less than the 3 s after which a leaving upstream must not receive new
  /// work.
  static constexpr std::chrono::milliseconds kQueueGrace{1500};

  void SetUpstreamDraining(bool draining, TimePoint now);
  void SetLeaving(bool leaving, TimePoint now);
  void SetStopping(TimePoint now);

  bool is_draining() const { return m_since.has_value(); }
  /// Whether the drain has lasted for kQueueGrace, so that queued requests may
  /// not be sent any more either.
  bool IsGraceOver(TimePoint now) const {
    return m_since && now >= *m_since + kQueueGrace;
  }

 private:
  void Update(TimePoint now);

  bool m_upstream_draining = false;
  bool m_leaving = false;
  bool m_stopping = false;
  std::optional<TimePoint> m_since;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_DRAINSTATE_H_
