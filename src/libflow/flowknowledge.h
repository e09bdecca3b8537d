#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWKNOWLEDGE_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWKNOWLEDGE_H_

#include <chrono>
#include <cstdint>
#include <set>

#include "libbase/clock.h"
#include "libbase/ids.h"

namespace fireflytrestle {

struct FlowHandover;

/// \brief Whether an agent knows all flows that its upstream holds.
///
/// An agent sees every flow that opens during its own run. Of those from before
/// it learns from the handover of its previous run. There are none if the
/// upstream has started after the agent's run, or so shortly before that no
/// earlier run can have sent it a flow.
class FlowKnowledge {
 public:
  /// An agent without a handover that started a shorter time ago was not
  /// stopped as planned before.
  static constexpr std::chrono::milliseconds kRecoveryTime{3500};

  /// Minimum time from the start of an upstream to that of an agent's run whose
  /// predecessor has sent it a flow: meanwhile the upstream registers in the
  /// store, balancers send its entry to the agent, and the process ends and is
  /// started again.
  static constexpr std::chrono::milliseconds kMinPreviousRun{250};

  /// \p is_first_run: no earlier run of the agent has sent a flow to the
  /// upstream. Flows live for \p flow_lifetime at most. \p started is the time
  /// of day at which the process started; the epoch if it is not known.
  FlowKnowledge(bool is_first_run,
                std::chrono::milliseconds flow_lifetime,
                WallTime started,
                TimePoint now);

  /// Records when the upstream started, by the clock of the same instance.
  /// Returns whether the upstream is known from now on to hold no flow from
  /// before the agent's run.
  bool OnUpstreamStarted(WallTime upstream_started);

  /// Records a part of a handover. The knowledge is complete with the last part
  /// of a complete one.
  void OnHandover(const FlowHandover& handover);

  /// Records that the upstream does not run, so that it holds no flow.
  void OnUpstreamAbsent() { m_is_upstream_new = true; }

  /// Whether a flow that the agent does not know is not held by the upstream.
  bool IsComplete(TimePoint now) const;

  /// Returns the maximum age of a flow whose opening the agent has not seen.
  std::chrono::milliseconds MaxFlowAge(TimePoint now) const;

  /// Whether the agent has started a moment ago and waits for a handover.
  bool NeedsHandover(TimePoint now) const;

 private:
  bool m_is_handover_complete = false;
  /// The upstream holds no flow from before the agent's run.
  bool m_is_upstream_new;
  /// An earlier run has sent flows to the upstream.
  bool m_had_earlier_run = false;
  bool m_has_handover = false;
  std::chrono::milliseconds m_flow_lifetime;
  WallTime m_wall_started;
  TimePoint m_started;
  /// Parts received of the handover with these numbers.
  Incarnation m_incarnation{};
  std::uint64_t m_round = 0;
  std::set<std::uint32_t> m_parts;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWKNOWLEDGE_H_
