#ifndef FIREFLYTRESTLE_TESTS_SOAK_PROCESSORWAITLOG_H_
#define FIREFLYTRESTLE_TESTS_SOAK_PROCESSORWAITLOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Records how long threads were ready to run and waited for a
/// processor, as the kernel counts it in /proc. Distinguishes a process that
/// the machine did not run from one that ran and sent nothing.
class ProcessorWaitLog {
 public:
  /// Time before the last sample that LongestWait() covers.
  static constexpr std::chrono::milliseconds kSpan{2000};

  /// Reads the counters of all threads of an instance's process. A process with
  /// another \p pid than before replaces it.
  void Sample(std::size_t instance, std::int64_t pid, TimePoint now);

  /// Returns how long the thread of the instance that waited longest did so
  /// within kSpan.
  std::chrono::milliseconds LongestWait(std::size_t instance) const;

 private:
  struct Counters {
    TimePoint at;
    /// Nanoseconds of each thread since its start.
    std::map<std::int64_t, std::int64_t> waited;
  };

  struct Process {
    std::int64_t pid = 0;
    std::deque<Counters> samples;
  };

  std::map<std::size_t, Process> m_processes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_PROCESSORWAITLOG_H_
