#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETHEALTH_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETHEALTH_H_

#include <cstdint>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Notices, from unanswered OPENs and PINGs, that a target has gone
/// silent.
///
/// One unanswered OPEN already makes a target doubtful: with many balancers
/// each of them sees few OPENs, and a caller's repeated OPEN reaches a balancer
/// that knows of no earlier one.
class TargetHealth {
 public:
  /// \p probe_interval is the least time between OPENs while doubtful.
  void OnOpenSent(TimePoint now, Duration probe_interval);

  /// An agent answers every PING at once, with PONG or RESET.
  void OnPingSent(TimePoint now) { ExpectAnswer(now); }

  /// Any packet of the target shows that it answers.
  void OnAnswer() { m_unanswered = 0; }

  bool IsAnswerOverdue(TimePoint now) const {
    return m_unanswered > 0 && now >= m_overdue_from;
  }

  bool IsSuspect(TimePoint now) const {
    return m_unanswered >= kSuspectAfterUnanswered && now >= m_suspect_from;
  }

  /// Whether a doubtful target may get one OPEN to find out if it answers
  /// again.
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
