#ifndef FIREFLYTRESTLE_LIBAGENT_CONNECTIONQUEUE_H_
#define FIREFLYTRESTLE_LIBAGENT_CONNECTIONQUEUE_H_

#include <deque>
#include <optional>

#include "libagent/flowhandle.h"

namespace fireflytrestle {

/// \brief Queue of flows that wait for a connection to the upstream. Flows with
/// an order or document come first because these hold a slot while they wait.
class ConnectionQueue {
 public:
  void Push(FlowHandle flow, bool holds_slot) {
    (holds_slot ? m_urgent : m_feeds).push_back(flow);
  }

  bool empty() const { return m_urgent.empty() && m_feeds.empty(); }
  std::optional<FlowHandle> Pop();

 private:
  std::deque<FlowHandle> m_urgent;
  std::deque<FlowHandle> m_feeds;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_CONNECTIONQUEUE_H_
