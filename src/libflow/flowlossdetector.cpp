#include "libflow/flowlossdetector.h"

#include "libflow/agenttable.h"
#include "libflow/flowknowledge.h"
#include "libsite/storefollower.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// A view that was last confirmed longer ago may lack an upstream that holds
/// flows by now. A store that answers confirms the view at the end of each
/// watch; one watch may fail, or be that of a reader that is being replaced.
constexpr milliseconds kViewAge =
    2 * (StoreFollower::kWatchWait + StoreFollower::kAnswerTimeout);
/// An agent whose upstream's service is in no configuration any more makes
/// itself known by its reports. It may have been stopped before this process
/// started; a planned restart takes 2 to 3 s.
constexpr milliseconds kAgentRestartTime{5000};
/// Number of flows without an owner at which all upstreams are assumed to have
/// lost their flows together, provided that none of them holds an old flow. In
/// a smaller sample, the flows of one upstream may be missing by chance.
constexpr std::size_t kMinOrphanedFlows = 8;
/// All but one in this many agents have started without a handover after an
/// outage; planned restarts lose the handovers of fewer agents at a time.
constexpr std::size_t kOutageDivisor = 4;
/// Searches are deferred only this long after the first view, while the
/// platform still counts the instances as disturbed by the outage.
constexpr milliseconds kDeferPeriod{2500};
/// Time after the first view in which an outage is assumed as the cause of lost
/// flows; callers repeat their requests for a few seconds after one.
constexpr milliseconds kRecoveryTime{5000};

}  // namespace

void FlowLossDetector::OnOrphanedFlow(const FlowTuple& tuple) {
  if (m_orphaned_flows.size() < kMinOrphanedFlows) {
    m_orphaned_flows.insert(tuple);
  }
}

bool FlowLossDetector::AreAllUpstreamsKnown(TimePoint now) const {
  if (m_first_view == TimePoint{} || now - m_view_confirmed >= kViewAge) {
    return false;
  }
  const milliseconds discovery_time =
      m_agents.LacksUnconfiguredAgent() ? kAgentRestartTime : kDiscoveryTime;
  return now - m_first_view >= discovery_time || AreMostUpstreamsCold(now) ||
         AreAllFlowsLost(now);
}

bool FlowLossDetector::AreAllFlowsLost(TimePoint now) const {
  return m_orphaned_flows.size() >= kMinOrphanedFlows && IsRecovering(now);
}

bool FlowLossDetector::IsRecovering(TimePoint now) const {
  if (m_has_older_balancer || now - m_first_view >= kRecoveryTime) {
    return false;
  }
  // Flows that opened after the processes restarted do not show whether older
  // flows were kept.
  const TimePoint before = m_first_view - kDiscoveryTime;
  std::size_t reporting = 0;
  for (const auto& [address, agent] : m_agents.all()) {
    if (agent->HasFlowOlderThan(before)) {
      return false;
    }
    reporting += agent->last_report() ? 1 : 0;
  }
  return 2 * reporting >= m_agents.all().size();
}

bool FlowLossDetector::IsOutage(TimePoint now) const {
  if (m_first_view == TimePoint{} || m_has_older_balancer ||
      now - m_first_view >= FlowKnowledge::kRecoveryTime) {
    return false;
  }
  std::size_t started = 0;
  for (const auto& [address, agent] : m_agents.all()) {
    started += agent->LacksHandover(now) ? 1 : 0;
  }
  return kOutageDivisor * started >=
         (kOutageDivisor - 1) * m_agents.all().size();
}

bool FlowLossDetector::ShouldDeferSearches(TimePoint now) const {
  return now - m_first_view < kDeferPeriod &&
         m_searches >= kMaxRecoverySearches && IsRecovering(now);
}

bool FlowLossDetector::AreMostUpstreamsCold(TimePoint now) const {
  std::size_t cold = 0;
  for (const auto& [address, agent] : m_agents.all()) {
    cold += agent->IsCold(now) ? 1 : 0;
  }
  return 2 * cold > m_agents.all().size();
}

}  // namespace fireflytrestle
