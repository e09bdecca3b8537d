#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_

#include <chrono>
#include <vector>

#include "libflow/agenttable.h"

namespace fireflytrestle {

/// \brief Tells which agents have fallen silent, and whether this process is in
/// a position to say so.
///
/// A process that was paused, or that hears of too few agents, has no view of
/// its own to judge others by.
class AgentFailureDetector {
 public:
  /// Three reports, one every kReportInterval, and the time of a busy moment.
  static constexpr std::chrono::milliseconds kSilenceTimeout{350};
  static constexpr std::chrono::milliseconds kReportInterval{100};
  /// A longer gap between two ticks, which come every 50 ms, is a pause.
  static constexpr std::chrono::milliseconds kPauseThreshold{200};

  /// Returns the agents whose silence begins now, and marks them. Agents that
  /// announced their stop are left out for kStopGrace.
  std::vector<AgentPeerPtr> OnTick(const AgentTable& agents, TimePoint now);

  /// Whether at least half of the agents that are not known to be silent
  /// report.
  bool HasQuorum() const { return m_quorum; }

  /// Whether the silence of others may be acted on.
  bool IsReliable(TimePoint now) const;

 private:
  /// The platform ends a process that stops 6 s after it said so.
  static constexpr std::chrono::milliseconds kStopGrace{6000};

  TimePoint m_last_tick{};
  TimePoint m_resumed{};
  bool m_quorum = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTFAILUREDETECTOR_H_
