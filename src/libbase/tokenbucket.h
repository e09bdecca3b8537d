#ifndef FIREFLYTRESTLE_LIBBASE_TOKENBUCKET_H_
#define FIREFLYTRESTLE_LIBBASE_TOKENBUCKET_H_

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Limits a rate: tokens come in steadily up to a burst, and events
/// take them.
class TokenBucket {
 public:
  /// Starts full. \p tokens_per_second and \p burst are at least 0.
  TokenBucket(double tokens_per_second, double burst, TimePoint now)
      : m_rate(tokens_per_second),
        m_burst(burst),
        m_tokens(burst),
        m_updated(now) {}

  /// Takes \p tokens if there are so many; an event that takes more than the
  /// burst takes a full bucket.
  bool TryTake(TimePoint now, double tokens = 1.0);

  /// Adds \p tokens, up to the burst.
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
