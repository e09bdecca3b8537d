#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_

#include <chrono>
#include <vector>

#include "libflow/agenttable.h"

namespace fireflytrestle {

/// \brief Detects agents that have become silent, and whether this process can
/// judge that reliably.
///
/// A process that was paused, or that gets reports from too few agents, is
/// likely at fault itself and must not act on the silence of others. An agent
/// counts as silent only if it also left queries unanswered: a few lost reports
/// do not show that it is lost.
class AgentFailureDetector {
 public:
  /// An agent that reports every kReportInterval is silent after this long
  /// without a report.
  static constexpr std::chrono::milliseconds kSilenceTimeout{350};
  static constexpr std::chrono::milliseconds kReportInterval{100};
  /// Number of reports that may be missing before an agent counts as silent,
  /// and the additional time for delays under load.
  static constexpr int kMissedReports = 3;
  static constexpr std::chrono::milliseconds kDelayAllowance{50};
  /// A longer gap between two ticks, which are due every 50 ms, means that this
  /// process was paused.
  static constexpr std::chrono::milliseconds kPauseThreshold{200};

  /// An agent that does not begin to report for this long after the first
  /// request is silent: the time of ten requests, one every 50 ms.
  static constexpr std::chrono::milliseconds kRequestTimeout{500};

  /// A report is overdue, and the agent is queried, this long before the agent
  /// counts as silent: the time of two queries, one at each tick.
  static constexpr std::chrono::milliseconds kQueryTime{100};
  /// Number of queries that an agent must leave unanswered before it counts as
  /// silent, since regular reports may have been lost.
  static constexpr int kMinQueries = 2;
  /// Minimum time for the answer to a query: an agent answers at once, and
  /// ticks are due every 50 ms.
  static constexpr std::chrono::milliseconds kAnswerTime{40};

  /// Returns the agents that have become silent, and marks them; none while the
  /// detector is not reliable. An agent that announced its stop becomes silent
  /// only after kStopGrace.
  std::vector<AgentPeerPtr> OnTick(const AgentTable& agents, TimePoint now);

  /// Agents that the last OnTick() found overdue; they have to be queried now.
  const std::vector<AgentPeerPtr>& overdue() const { return m_overdue; }

  /// Whether at least half of the agents from which reports are wanted and
  /// which are not marked as silent report, and at least one; or enough of
  /// those that report infrequently.
  bool HasQuorum() const { return m_quorum; }

  /// Whether the silence of agents may be acted on: there is a quorum, and this
  /// process has not been paused recently.
  bool IsReliable(TimePoint now) const;

 private:
  static std::chrono::milliseconds SilenceTimeoutFor(const AgentPeer& agent);

  /// The platform kills a stopping process 6 s after the announcement of its
  /// stop.
  static constexpr std::chrono::milliseconds kStopGrace{6000};

  TimePoint m_last_tick{};
  TimePoint m_resumed{};
  bool m_quorum = false;
  std::vector<AgentPeerPtr> m_overdue;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_
