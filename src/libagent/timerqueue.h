#ifndef FIREFLYTRESTLE_LIBAGENT_TIMERQUEUE_H_
#define FIREFLYTRESTLE_LIBAGENT_TIMERQUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Orders flows by the time at which they must be processed next.
///
/// A binary heap with at most one entry per flow index, so that its size is
/// bounded by the number of flows however often their timers are reset.
class TimerQueue {
 public:
  /// Sets the timer of \p index and replaces a previous one.
  void Set(std::uint32_t index, TimePoint due);
  void Remove(std::uint32_t index);

  /// Time of the timer of \p index; TimePoint::max() if it has none.
  TimePoint DueOf(std::uint32_t index) const;

  /// Removes the earliest timer if it is due at \p now and returns its flow
  /// index.
  std::optional<std::uint32_t> PopDue(TimePoint now);

  std::size_t size() const { return m_heap.size(); }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Entry {
    TimePoint due;
    std::uint32_t index = 0;
  };

  void Place(std::size_t position, const Entry& entry);
  void MoveUp(std::size_t position);
  void MoveDown(std::size_t position);

  std::vector<Entry> m_heap;
  /// Position in the heap for each flow index.
  std::vector<std::uint32_t> m_positions;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_TIMERQUEUE_H_
