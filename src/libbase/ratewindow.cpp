#include "libbase/ratewindow.h"

namespace fireflytrestle {

bool RateWindow::Allows(std::uint32_t limit, TimePoint now) {
  while (!m_events.empty() && m_events.front() + m_width <= now) {
    m_events.pop_front();
  }
  return m_events.size() < limit;
}

void RateWindow::Record(std::uint32_t limit, TimePoint now) {
  m_events.push_back(now);
  while (m_events.size() > limit) {
    m_events.pop_front();
  }
}

}  // namespace fireflytrestle
