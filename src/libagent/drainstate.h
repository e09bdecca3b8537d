#ifndef FIREFLYTRESTLE_LIBAGENT_DRAINSTATE_H_
#define FIREFLYTRESTLE_LIBAGENT_DRAINSTATE_H_

#include <optional>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Tells whether new work is still taken, from the three parties that
/// can end it: the upstream, the instance list and the agent's own stop.
class DrainState {
 public:
  /// Requests already queued still go to the upstream for this long. With the
  /// time to notice the drain it stays below the 3 s after which a leaving
  /// upstream gets nothing new.
  static constexpr std::chrono::milliseconds kQueueGrace{1500};

  void SetUpstreamDraining(bool draining, TimePoint now);
  void SetLeaving(bool leaving, TimePoint now);
  void SetStopping(TimePoint now);

  bool is_draining() const { return m_since.has_value(); }
  /// Whether not even queued requests may be sent any more.
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
