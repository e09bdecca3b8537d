#ifndef FIREFLYTRESTLE_LIBBASE_TOKENBUCKET_H_
#define FIREFLYTRESTLE_LIBBASE_TOKENBUCKET_H_

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Rate limiter: tokens are added at a constant rate up to a maximum,
/// the burst, and each event takes tokens.
class TokenBucket {
 public:
  /// The bucket starts full. \p tokens_per_second and \p burst must be at least
  /// 0.
  TokenBucket(double tokens_per_second, double burst, TimePoint now)
      : m_rate(tokens_per_second),
        m_burst(burst),
        m_tokens(burst),
        m_updated(now) {}

  /// Takes \p tokens if the bucket contains that many, and returns whether it
  /// did. An event of more tokens than the burst needs and takes a full bucket.
  bool TryTake(TimePoint now, double tokens = 1.0);

  /// Adds \p tokens, up to a full bucket.
  void Add(double tokens);

  double tokens() const { return m_tokens; }

 private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_updated;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_TOKENBUCKET_H_
