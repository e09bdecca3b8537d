#include "libagent/requestqueue.h"

namespace fireflytrestle {

std::optional<RequestQueue::Entry> RequestQueue::Pop() {
  if (m_entries.empty()) {
    return std::nullopt;
  }
  const Entry entry = m_entries.front();
  m_entries.pop_front();
  return entry;
}

}  // namespace fireflytrestle
