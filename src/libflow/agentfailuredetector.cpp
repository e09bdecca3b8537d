#include "libflow/agentfailuredetector.h"

#include <algorithm>
#include <utility>

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Of the agents that report every 500 ms, two thirds report within
/// kSilenceTimeout; half of these have to.
constexpr std::size_t kRemoteQuorumDivisor = 3;

/// Whether reports of the agent are due: it has reported before, and reports
/// are wanted.
bool IsExpected(const AgentPeer& agent) {
  return agent.last_report() && agent.reports_wanted() && !agent.silent();
}

/// Returns how long ago the agent last reported, or was first asked for reports
/// if it has not reported since.
Duration TimeSinceReport(const AgentPeer& agent, TimePoint now) {
  return now - std::max(*agent.last_report(), agent.reports_wanted_since());
}

/// Returns by how much the median of the times since the last report of agents
/// that report every kReportInterval exceeds that interval.
milliseconds LatenessOf(std::vector<Duration> ages) {
  if (ages.empty()) {
    return milliseconds(0);
  }
  // If half of the agents are lost, the reports of the others still count.
  const auto median =
      ages.begin() + static_cast<std::ptrdiff_t>((ages.size() - 1) / 2);
  std::nth_element(ages.begin(), median, ages.end());
  const Duration late = *median - AgentFailureDetector::kReportInterval;
  return std::clamp(std::chrono::duration_cast<milliseconds>(late),
                    milliseconds(0), AgentFailureDetector::kMaxLateness);
}

}  // namespace

std::vector<AgentPeerPtr> AgentFailureDetector::OnTick(const AgentTable& agents,
                                                       TimePoint now) {
  const bool was_paused =
      m_last_tick != TimePoint{} && now - m_last_tick > kPauseThreshold;
  m_last_tick = now;
  if (was_paused) {
    m_resumed = now;
  }
  MeasureReports(agents, now);
  std::vector<AgentPeerPtr> silenced;
  m_overdue.clear();
  const bool is_reliable = IsReliable(now);
  for (const auto& [address, agent] : agents.all()) {
    if (!is_reliable) {
      agent->ClearQueries();
      continue;
    }
    if (!IsExpected(*agent)) {
      continue;
    }
    // If reports are late by any time up to a maximum with equal probability,
    // the maximum is twice the median. Queries wait for the confirmed lateness
    // too, since they would add to the load of a slow path.
    const milliseconds timeout =
        SilenceTimeoutFor(*agent) + 2 * ConfirmedLateness(now);
    const Duration age = TimeSinceReport(*agent, now);
    if (age < timeout - kQueryTime || now - agent->last_query() < kAnswerTime) {
      continue;
    }
    const milliseconds judged_after =
        SilenceTimeoutFor(*agent) + 2 * GeneralLateness(now);
    if (age >= judged_after && agent->unanswered_queries() >= kMinQueries) {
      agent->set_silent(true);
      silenced.push_back(agent);
    } else if (agent->unanswered_queries() < kMaxQueries) {
      agent->OnQueried(now);
      m_overdue.push_back(agent);
    }
  }
  if (!silenced.empty()) {
    m_present_lateness = milliseconds(0);
  }
  return silenced;
}

void AgentFailureDetector::MeasureReports(const AgentTable& agents,
                                          TimePoint now) {
  std::vector<Duration> ages;
  std::size_t expected = 0;
  std::size_t fresh = 0;
  std::size_t remote = 0;
  std::size_t fresh_remote = 0;
  for (const auto& [address, agent] : agents.all()) {
    if (!IsExpected(*agent)) {
      continue;
    }
    const Duration age = TimeSinceReport(*agent, now);
    if (agent->wanted_interval() > kReportInterval) {
      ++remote;
      fresh_remote += age < kSilenceTimeout ? 1 : 0;
      continue;
    }
    ++expected;
    fresh += age < ReportTimeoutFor(*agent) ? 1 : 0;
    if (agent->IsReporting() && agent->phase() != AgentPhase::kStopping) {
      ages.push_back(age);
    }
  }
  const bool has_frequent_quorum = fresh > 0 && 2 * fresh >= expected;
  // The infrequent reports show that this process is not cut off if all agents
  // that report frequently are lost together.
  m_quorum =
      has_frequent_quorum ||
      (fresh_remote > 0 && kRemoteQuorumDivisor * fresh_remote >= remote);
  if (m_resumed != now) {
    OnLateness(LatenessOf(std::move(ages)), has_frequent_quorum, now);
  }
}

void AgentFailureDetector::OnLateness(milliseconds lateness,
                                      bool has_frequent_quorum,
                                      TimePoint now) {
  if (has_frequent_quorum && lateness < m_present_lateness) {
    // The agents were late and not lost.
    if (m_present_lateness >= m_lateness ||
        now - m_lateness_confirmed >= kLatenessMemory) {
      m_lateness = m_present_lateness;
      m_lateness_confirmed = now;
    }
    if (!m_had_frequent_quorum) {
      // Those whose reports arrive first again must not make the others silent.
      m_resumed = now;
    }
    m_present_lateness = lateness;
  }
  m_present_lateness = std::max(m_present_lateness, lateness);
  m_had_frequent_quorum = has_frequent_quorum;
}

milliseconds AgentFailureDetector::ConfirmedLateness(TimePoint now) const {
  return now - m_lateness_confirmed < kLatenessMemory ? m_lateness
                                                      : milliseconds(0);
}

milliseconds AgentFailureDetector::GeneralLateness(TimePoint now) const {
  return std::max(ConfirmedLateness(now),
                  m_had_frequent_quorum ? m_present_lateness : milliseconds(0));
}

milliseconds AgentFailureDetector::SilenceTimeoutFor(const AgentPeer& agent) {
  return agent.phase() == AgentPhase::kStopping ? kStopGrace
                                                : ReportTimeoutFor(agent);
}

milliseconds AgentFailureDetector::ReportTimeoutFor(const AgentPeer& agent) {
  return agent.IsReporting()
             ? agent.wanted_interval() * kMissedReports + kDelayAllowance
             : kRequestTimeout;
}

bool AgentFailureDetector::IsReliable(TimePoint now) const {
  return m_quorum && now - m_last_tick <= kPauseThreshold &&
         now - m_resumed >= kSilenceTimeout;
}

}  // namespace fireflytrestle
