#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_

#include <chrono>
#include <cstddef>
#include <unordered_set>

#include "libbase/clock.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

class AgentTable;

/// \brief Tells when a flow that no known agent holds may be taken for lost.
///
/// A balancer that has just started does not know upstreams that the store no
/// longer lists, and which may hold flows. After an outage of everything,
/// however, callers had better learn at once that their flows are gone.
class FlowLossDetector {
 public:
  /// By then, agents that the store no longer lists have heard of a new
  /// balancer and reported to it.
  static constexpr std::chrono::milliseconds kDiscoveryTime{1000};

  explicit FlowLossDetector(const AgentTable& agents) : m_agents(agents) {}

  /// The first view with upstreams was installed.
  void OnFirstView(TimePoint now) { m_first_view = now; }
  /// The epoch before the first view.
  TimePoint first_view() const { return m_first_view; }

  /// The store confirmed the view, as it was at \p at.
  void ConfirmView(TimePoint at) { m_view_confirmed = at; }

  /// All agents that report have said that they do not hold the flow.
  void OnOrphanedFlow(const FlowTuple& tuple);

  /// Whether a flow that no agent holds is lost.
  bool AreAllUpstreamsKnown(TimePoint now) const;

  /// Whether all upstreams seem to have lost their flows at once, those
  /// included whose agents have not come back.
  bool AreAllFlowsLost(TimePoint now) const;

 private:
  /// Whether this process started a moment ago, and no agent that reports holds
  /// a flow from before: what took this process down took the flows, too.
  bool IsRecovering(TimePoint now) const;
  /// Whether most upstreams have just started.
  bool AreMostUpstreamsCold(TimePoint now) const;

  const AgentTable& m_agents;
  TimePoint m_first_view{};
  TimePoint m_view_confirmed{};
  /// Flows without an owner, up to a telling number.
  std::unordered_set<FlowTuple, FlowTupleHash> m_orphaned_flows;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_
