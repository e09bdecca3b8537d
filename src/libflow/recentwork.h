#ifndef FIREFLYTRESTLE_LIBFLOW_RECENTWORK_H_
#define FIREFLYTRESTLE_LIBFLOW_RECENTWORK_H_

#include <optional>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Average work of the requests that an upstream answered recently, of
/// all classes in the proportion in which they arrived.
class RecentWork {
 public:
  void OnAnswer(Duration work, TimePoint now);

  /// Requests are running, whose answers are going to change the average.
  void OnBusy(TimePoint now) { m_last_use = now; }

  /// Returns the average; empty before the first kMinSamples answers, and once
  /// the upstream has been idle for kMemory. Balancers do not send flows to an
  /// upstream that was slow, and find out that it has recovered only if they
  /// try it again.
  std::optional<Duration> Average(TimePoint now) const;

 private:
  static constexpr int kMinSamples = 4;
  static constexpr std::chrono::milliseconds kMemory{2000};

  bool IsForgotten(TimePoint now) const { return now - m_last_use > kMemory; }

  Duration m_average{};
  TimePoint m_last_answer{};
  TimePoint m_last_use{};
  int m_samples = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_RECENTWORK_H_
