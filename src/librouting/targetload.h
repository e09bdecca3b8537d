#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_

#include <cstdint>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Load of a target as far as this balancer knows it: the last report
/// and the OPENs under way, which no report includes yet.
///
/// OPENs under way are counted until answered, not until the next report: a
/// report that arrives says nothing of OPENs that the agent had not received
/// when it was sent.
class TargetLoad {
 public:
  void OnReport(std::uint32_t open_flows, TimePoint now);
  void OnOpenSent(TimePoint now);
  void OnOpenAnswered();

  /// Whether the report may be compared with that of another target.
  bool IsFresh(TimePoint now) const {
    return m_reported && now - m_reported_at < kReportLifetime;
  }

  std::uint64_t flows(TimePoint now) const {
    return std::uint64_t{m_open_flows} + opens_under_way(now);
  }
  std::uint32_t open_flows() const { return m_open_flows; }
  std::uint32_t opens_under_way(TimePoint now) const;

 private:
  static constexpr std::chrono::seconds kReportLifetime{10};
  /// An OPEN without an answer is forgotten after one to two of these.
  static constexpr std::chrono::seconds kUnansweredExpiryInterval{1};

  std::uint32_t m_open_flows = 0;
  bool m_reported = false;
  TimePoint m_reported_at;
  /// Unanswered OPENs of the interval that began at m_interval_begin, and of
  /// the one before.
  std::uint32_t m_unanswered_recent = 0;
  std::uint32_t m_unanswered_earlier = 0;
  TimePoint m_interval_begin;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_
