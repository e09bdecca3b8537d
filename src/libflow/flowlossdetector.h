#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_

#include <chrono>
#include <cstddef>
#include <unordered_set>

#include "libbase/clock.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

class AgentTable;

/// \brief Decides when a flow that no known agent holds counts as lost.
///
/// A balancer that has just started does not know upstreams that the store no
/// longer lists, but which may still hold flows; such flows must not be reset.
/// After an outage of all processes, however, callers should be informed at
/// once that their flows are lost.
class FlowLossDetector {
 public:
  /// Time after which agents that the store no longer lists have received the
  /// announcement of a new balancer and have reported to it.
  static constexpr std::chrono::milliseconds kDiscoveryTime{1000};

  /// Number of searches at the same time that suffice after an outage to show
  /// whether all flows are lost.
  static constexpr std::size_t kMaxRecoverySearches = 12;

  explicit FlowLossDetector(const AgentTable& agents) : m_agents(agents) {}

  /// Records when the first view with upstreams was installed.
  void OnFirstView(TimePoint now) { m_first_view = now; }
  /// Returns the time of the first view; the epoch before there is one.
  TimePoint first_view() const { return m_first_view; }

  /// Records that the store confirmed the view as of \p at.
  void ConfirmView(TimePoint at) { m_view_confirmed = at; }

  /// Records that a balancer has run since long before this one, so that no
  /// outage has ended all processes.
  void OnOlderBalancer() { m_has_older_balancer = true; }

  /// Records a flow that none of the reporting agents holds.
  void OnOrphanedFlow(const FlowTuple& tuple);

  /// Whether all upstreams that may hold flows are known, so that a flow that
  /// no agent holds is lost.
  bool AreAllUpstreamsKnown(TimePoint now) const;

  /// Whether all upstreams appear to have lost their flows at once, including
  /// those whose agents have not reported since.
  bool AreAllFlowsLost(TimePoint now) const;

  /// Whether this process and nearly all agents started a moment ago without a
  /// handover: an unplanned outage has ended most processes, and only
  /// the upstreams know their flows.
  bool IsOutage(TimePoint now) const;

  /// Whether a flow without a known owner is most likely one of many that an
  /// outage ended. A search for each of them would use up the links.
  bool ShouldDeferSearches(TimePoint now) const;
  /// Counts a search that queries agents.
  void OnSearch() { ++m_searches; }

 private:
  /// Whether this process started recently, at least half of the agents report,
  /// and none of them holds a flow from before the start. The outage that ended
  /// this process has then also ended the flows.
  bool IsRecovering(TimePoint now) const;
  /// Whether more than half of the upstreams are in their cold start.
  bool AreMostUpstreamsCold(TimePoint now) const;

  const AgentTable& m_agents;
  TimePoint m_first_view{};
  TimePoint m_view_confirmed{};
  /// Flows without an owner, up to the number that AreAllFlowsLost() needs.
  std::unordered_set<FlowTuple, FlowTupleHash> m_orphaned_flows;
  std::size_t m_searches = 0;
  bool m_has_older_balancer = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWLOSSDETECTOR_H_
