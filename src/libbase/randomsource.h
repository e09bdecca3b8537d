#ifndef FIREFLYTRESTLE_LIBBASE_RANDOMSOURCE_H_
#define FIREFLYTRESTLE_LIBBASE_RANDOMSOURCE_H_

#include <cstdint>

namespace fireflytrestle {

/// \brief Source of random numbers. Tests pass one with a fixed seed.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// Returns a number uniformly distributed over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  /// Returns a number in [0, bound), or 0 if \p bound is 0.
  std::uint64_t Below(std::uint64_t bound) {
    return bound == 0 ? 0 : Next() % bound;
  }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_RANDOMSOURCE_H_
