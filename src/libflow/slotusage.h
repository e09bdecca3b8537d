#ifndef FIREFLYTRESTLE_LIBFLOW_SLOTUSAGE_H_
#define FIREFLYTRESTLE_LIBFLOW_SLOTUSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Derives when the upstream began each of the requests that were sent
/// to it, which it serves in order of arrival.
///
/// The time from the delivery of a request to its answer includes its wait in
/// the upstream's own queue: with two slots and three queued requests it is two
/// and a half times the work.
class SlotUsage {
 public:
  /// Records that a request was sent to an upstream with \p slots slots (0 if
  /// unknown: it begins every request at once). Returns the request's number.
  std::uint64_t Start(std::uint32_t slots, TimePoint now);

  /// Records that the request occupies no slot any more, so that the upstream
  /// begins the next one. Returns for how long it has occupied one; nullopt if
  /// the upstream had not begun it, as far as the agent knows.
  std::optional<Duration> End(std::uint64_t number, TimePoint now);

 private:
  struct Running {
    std::uint64_t number;
    std::optional<TimePoint> began;
  };

  std::uint64_t m_last_number = 0;
  /// In order of arrival at the upstream.
  std::vector<Running> m_running;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_SLOTUSAGE_H_
