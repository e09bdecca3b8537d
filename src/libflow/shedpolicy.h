#ifndef FIREFLYTRESTLE_LIBFLOW_SHEDPOLICY_H_
#define FIREFLYTRESTLE_LIBFLOW_SHEDPOLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowclass.h"

namespace fireflytrestle {

/// \brief Decides which queued request of an upstream is served next, and which
/// ones are delayed or turned away when there is too little room.
///
/// Each priority counts twice as much as the next lower one. The cost of not
/// serving a request is its weight for each unit of work; of equal ones, a
/// non-idempotent request is dearer, since its caller cannot repeat it.
/// Requests that can be answered within their latency objectives go first. If
/// not all can, the dearest set that can is served, of equal ones the newest.
/// The others follow by the same rule against their time-outs.
///
/// No class starves: while requests of C classes wait that can be answered
/// before their time-outs, each of these classes gets at least one of any
/// kMaxPassedOver + C releases in a row.
///
/// Keeps no time and no request. One decision takes O(n * (log n + k)) steps
/// for n queued requests of which k can be served in time.
class ShedPolicy {
 public:
  /// Releases in a row for which a class may be passed over. Urgent requests
  /// lose at most this share of the releases to each class that would starve.
  static constexpr std::uint32_t kMaxPassedOver = 15;

  struct Request {
    FlowClass flow_class;
    Duration age{};
    /// Expected time that it occupies a slot.
    Duration work{};
  };

  struct Capacity {
    std::uint32_t slots = 1;
    /// Time until the upstream begins the next request that it gets.
    Duration delay{};
  };

  struct Choice {
    /// Index of the request to be served next.
    std::size_t index = 0;
    /// It is expected to be answered within its latency objective.
    bool in_time = false;
    /// It is served only because its class has been passed over for too long.
    bool passed_over = false;
  };

  /// Returns the next request and counts it as released; nullopt if \p requests
  /// is empty.
  std::optional<Choice> Release(std::span<const Request> requests,
                                const Capacity& capacity);

  /// Returns what Release() returns if no class has been passed over.
  static std::optional<Choice> ChooseNext(std::span<const Request> requests,
                                          const Capacity& capacity);

  /// Whether a further request would be answered within \p time_share of what
  /// is left of its caller's time-out if it yields to the queued requests that
  /// are at least as dear and can be, too. \p queued is in order of arrival.
  static bool HasRoomFor(const Request& request,
                         std::span<const Request> queued,
                         const Capacity& capacity,
                         double time_share);

  /// Whether the request could be answered before its caller's time-out if it
  /// began now.
  static bool CanMeetTimeout(const Request& request) {
    return request.age + request.work < request.flow_class.timeout;
  }

 private:
  struct PassedOver {
    FlowClass flow_class;
    std::uint32_t releases = 0;
  };

  /// Counts a release of \p released for the other classes that wait.
  void CountRelease(const FlowClass& released,
                    std::span<const Request> requests,
                    const Capacity& capacity);

  std::vector<PassedOver> m_passed_over;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_SHEDPOLICY_H_
