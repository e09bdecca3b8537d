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
/// it learns from the handover of its previous run.
class FlowKnowledge {
 public:
  /// An agent without a handover that started a shorter time ago was not
  /// stopped as planned before.
  static constexpr std::chrono::milliseconds kRecoveryTime{3500};

  /// \p is_first_run: no earlier run of the agent has sent a flow to the
  /// upstream. Flows live for \p flow_lifetime at most.
  FlowKnowledge(bool is_first_run,
                std::chrono::milliseconds flow_lifetime,
                TimePoint now);

  /// Records a part of a handover. The knowledge is complete with the last part
  /// of a complete one.
  void OnHandover(const FlowHandover& handover);

  /// Whether a flow that the agent does not know is not held by the upstream.
  bool IsComplete(TimePoint now) const;

  /// Whether the agent has started a moment ago and waits for a handover.
  bool NeedsHandover(TimePoint now) const;

 private:
  bool m_is_complete;
  bool m_has_handover = false;
  std::chrono::milliseconds m_flow_lifetime;
  TimePoint m_started;
  /// Parts received of the handover with these numbers.
  Incarnation m_incarnation{};
  std::uint64_t m_round = 0;
  std::set<std::uint32_t> m_parts;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWKNOWLEDGE_H_
