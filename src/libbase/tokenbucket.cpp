#include "libbase/tokenbucket.h"

#include <algorithm>

namespace fireflytrestle {

bool TokenBucket::TryTake(TimePoint now, double tokens) {
  if (now > m_updated) {
    Add(m_rate * std::chrono::duration<double>(now - m_updated).count());
    m_updated = now;
  }
  const double taken = std::min(tokens, m_burst);
  if (m_tokens < taken) {
    return false;
  }
  m_tokens -= taken;
  return true;
}

void TokenBucket::Add(double tokens) {
  m_tokens = std::min(m_burst, m_tokens + tokens);
}

}  // namespace fireflytrestle
