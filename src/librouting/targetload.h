#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_

#include <cstdint>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Load of a target as seen by this balancer: the number of open flows
/// in the last report plus the OPENs that this balancer has sent and that have
/// not been answered yet.
///
/// An OPEN is counted until it is answered, not until the next report arrives:
/// a report does not include OPENs that the agent received after sending it.
class TargetLoad {
 public:
  void OnReport(std::uint32_t open_flows, TimePoint now);
  void OnOpenSent(TimePoint now);
  void OnOpenAnswered();

  /// Whether the last report is recent enough to be compared with that of
  /// another target.
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
  /// An unanswered OPEN is no longer counted after one to two of these
  /// intervals.
  static constexpr std::chrono::seconds kUnansweredExpiryInterval{1};

  std::uint32_t m_open_flows = 0;
  bool m_reported = false;
  TimePoint m_reported_at;
  /// Unanswered OPENs sent in the interval that began at m_interval_begin, and
  /// in the interval before it.
  std::uint32_t m_unanswered_recent = 0;
  std::uint32_t m_unanswered_earlier = 0;
  TimePoint m_interval_begin;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETLOAD_H_
