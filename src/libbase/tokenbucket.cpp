#include "libbase/tokenbucket.h"

#include <algorithm>

namespace fireflytrestle {

bool TokenBucket::TryTake(TimePoint now, double tokens) {
  if (now > m_updated) {
    Add(m_rate * std::chrono::duration<double>(now - m_updated).count());
    m_updated = now;
  }
  if (m_tokens < tokens) {
    return false;
  }
  m_tokens -= tokens;
  return true;
}

void TokenBucket::Add(double tokens) {
  m_tokens = std::min(m_burst, m_tokens + tokens);
}

}  // namespace fireflytrestle
