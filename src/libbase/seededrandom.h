#ifndef FIREFLYTRESTLE_LIBBASE_SEEDEDRANDOM_H_
#define FIREFLYTRESTLE_LIBBASE_SEEDEDRANDOM_H_

#include <random>

#include "libbase/randomsource.h"

namespace fireflytrestle {

/// \brief Pseudo-random numbers; the same seed gives the same sequence.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : m_engine(seed) {}

  std::uint64_t Next() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_SEEDEDRANDOM_H_
