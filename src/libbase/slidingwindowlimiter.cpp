#include "libbase/slidingwindowlimiter.h"

namespace fireflytrestle {

bool SlidingWindowLimiter::Allows(std::uint32_t limit, TimePoint now) {
  while (!m_events.empty() && m_events.front() + m_width <= now) {
    m_events.pop_front();
  }
  return m_events.size() < limit;
}

void SlidingWindowLimiter::Record(std::uint32_t limit, TimePoint now) {
  m_events.push_back(now);
  while (m_events.size() > limit) {
    m_events.pop_front();
  }
}

}  // namespace fireflytrestle
