#include "libagent/connectionqueue.h"

namespace fireflytrestle {

std::optional<FlowHandle> ConnectionQueue::Pop() {
  std::deque<FlowHandle>& queue = m_urgent.empty() ? m_feeds : m_urgent;
  if (queue.empty()) {
    return std::nullopt;
  }
  const FlowHandle flow = queue.front();
  queue.pop_front();
  return flow;
}

}  // namespace fireflytrestle
