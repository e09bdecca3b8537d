#ifndef FIREFLYTRESTLE_LIBBASE_LATENCYHISTOGRAM_H_
#define FIREFLYTRESTLE_LIBBASE_LATENCYHISTOGRAM_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace fireflytrestle {

/// \brief Histogram of durations with fixed buckets.
class LatencyHistogram {
 public:
  /// Inclusive upper bounds in milliseconds; one more bucket counts longer
  /// durations.
  static constexpr std::array<std::uint32_t, 11> kBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000};

  void Record(std::chrono::steady_clock::duration time) {
    const auto bucket = std::find_if(
        kBoundsMs.begin(), kBoundsMs.end(), [&](std::uint32_t bound) {
          return time <= std::chrono::milliseconds(bound);
        });
    ++m_counts[static_cast<std::size_t>(bucket - kBoundsMs.begin())];
    m_sum += time;
  }

  /// Count of each bucket; the last bucket has no upper bound.
  const std::array<std::uint64_t, kBoundsMs.size() + 1>& counts() const {
    return m_counts;
  }
  std::chrono::duration<double> sum() const { return m_sum; }

 private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> m_counts{};
  std::chrono::steady_clock::duration m_sum{0};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_LATENCYHISTOGRAM_H_
