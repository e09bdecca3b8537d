#ifndef FIREFLYTRESTLE_LIBBASE_RETRYBUDGET_H_
#define FIREFLYTRESTLE_LIBBASE_RETRYBUDGET_H_

#include "libbase/tokenbucket.h"

namespace fireflytrestle {

/// \brief Limits retries to a fraction of the first attempts plus a constant
/// minimum rate, so that retries do not multiply the load on a failing
/// upstream.
class RetryBudget {
 public:
  /// \p share is the number of retries per first attempt. \p minimum_per_second
  /// is the rate of retries permitted without first attempts.
  RetryBudget(double share, double minimum_per_second, TimePoint now)
      : m_share(share), m_bucket(minimum_per_second, kBurst, now) {}

  void OnFirstAttempt() { m_bucket.Add(m_share); }

  /// Returns whether one more retry is within the budget; if so, counts it.
  bool TryRetry(TimePoint now) { return m_bucket.TryTake(now); }

  double available() const { return m_bucket.tokens(); }

 private:
  static constexpr double kBurst = 100.0;

  double m_share;
  TokenBucket m_bucket;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_RETRYBUDGET_H_
