#include "libflow/slotusage.h"

#include <algorithm>

namespace fireflytrestle {

std::uint64_t SlotUsage::Start(std::uint32_t slots, TimePoint now) {
  const auto occupied =
      std::count_if(m_running.begin(), m_running.end(),
                    [](const Running& each) { return each.began.has_value(); });
  Running request{++m_last_number, std::nullopt};
  if (slots == 0 || occupied < static_cast<std::ptrdiff_t>(slots)) {
    request.began = now;
  }
  m_running.push_back(request);
  return m_last_number;
}

std::optional<Duration> SlotUsage::End(std::uint64_t number, TimePoint now) {
  const auto position =
      std::find_if(m_running.begin(), m_running.end(),
                   [&](const Running& each) { return each.number == number; });
  if (position == m_running.end()) {
    return std::nullopt;
  }
  const std::optional<TimePoint> began = position->began;
  m_running.erase(position);
  if (!began) {
    return std::nullopt;
  }
  const auto next =
      std::find_if(m_running.begin(), m_running.end(),
                   [](const Running& each) { return !each.began; });
  if (next != m_running.end()) {
    next->began = now;
  }
  return now - *began;
}

}  // namespace fireflytrestle
