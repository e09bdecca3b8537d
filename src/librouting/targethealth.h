#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETHEALTH_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETHEALTH_H_

#include <cstdint>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Failure detector: detects from unanswered OPENs and PINGs that a
/// target has stopped answering.
///
/// A target whose answer is overdue gets new flows only if no other target is
/// ready. One unanswered OPEN or PING is enough for that: with many balancers
/// each of them sends few OPENs to a target, and a caller's repeated OPEN may
/// reach a balancer that has not sent any of the earlier ones. After
/// kSuspectAfterUnanswered unanswered messages the target is suspect and gets
/// only probes.
class TargetHealth {
 public:
  /// \p probe_interval is the time after which a target whose answer is overdue
  /// is due for a probe.
  void OnOpenSent(TimePoint now, Duration probe_interval);

  /// Agents answer every PING immediately, with PONG or RESET.
  void OnPingSent(TimePoint now) { ExpectAnswer(now); }

  /// Called for any packet from the target. Resets the count of unanswered
  /// messages.
  void OnAnswer() { m_unanswered = 0; }

  bool IsAnswerOverdue(TimePoint now) const {
    return m_unanswered > 0 && now >= m_overdue_from;
  }

  bool IsSuspect(TimePoint now) const {
    return m_unanswered >= kSuspectAfterUnanswered && now >= m_suspect_from;
  }

  /// Whether a target whose answer is overdue may get a copy of an OPEN now, to
  /// detect whether it answers again.
  bool IsProbeDue(TimePoint now) const {
    return IsAnswerOverdue(now) && now >= m_next_probe;
  }

 private:
  static constexpr std::uint32_t kSuspectAfterUnanswered = 3;
  static constexpr std::chrono::milliseconds kAnswerTimeout{500};

  void ExpectAnswer(TimePoint now);

  /// OPENs and PINGs sent since the last answer, up to kSuspectAfterUnanswered.
  std::uint32_t m_unanswered = 0;
  TimePoint m_overdue_from;
  TimePoint m_suspect_from;
  TimePoint m_next_probe;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETHEALTH_H_
