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
/// do not show that it is lost. While the reports of most agents are late, all
/// agents are given more time.
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
  /// Limit on the queries that an agent gets without a report in between.
  static constexpr int kMaxQueries = 4;
  /// The lateness of reports in general is remembered for this long, since
  /// reports that were held up arrive over a while.
  static constexpr std::chrono::milliseconds kLatenessMemory{1000};
  /// General lateness above this does not extend the timeout further, so that
  /// the loss of an agent is still detected after 1.35 s.
  static constexpr std::chrono::milliseconds kMaxLateness{500};
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
  /// Returns the time without a report after which an agent is silent, or does
  /// not report at present; the two differ for one that announced its stop.
  static std::chrono::milliseconds SilenceTimeoutFor(const AgentPeer& agent);
  static std::chrono::milliseconds ReportTimeoutFor(const AgentPeer& agent);

  /// Updates the quorum and the lateness of reports.
  void MeasureReports(const AgentTable& agents, TimePoint now);
  /// Handles the present lateness of the median agent of those that report
  /// every kReportInterval.
  void OnLateness(std::chrono::milliseconds lateness,
                  bool has_frequent_quorum,
                  TimePoint now);
  /// Returns by how much the reports of most agents were late recently.
  std::chrono::milliseconds ConfirmedLateness(TimePoint now) const;
  /// The same, or by how much they are late at present if that is more.
  std::chrono::milliseconds GeneralLateness(TimePoint now) const;

  /// The platform kills a stopping process 6 s after the announcement of its
  /// stop.
  static constexpr std::chrono::milliseconds kStopGrace{6000};

  TimePoint m_last_tick{};
  TimePoint m_resumed{};
  bool m_quorum = false;
  /// Whether at least half of the agents that report every kReportInterval did
  /// so at the last tick.
  bool m_had_frequent_quorum = false;
  /// Lateness of the median of these agents, which may also be lost.
  std::chrono::milliseconds m_present_lateness{0};
  /// The highest lateness from which the median has recovered within
  /// kLatenessMemory, and when it did.
  std::chrono::milliseconds m_lateness{0};
  TimePoint m_lateness_confirmed{};
  std::vector<AgentPeerPtr> m_overdue;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_
