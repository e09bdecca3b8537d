#include "libflow/flowownertable.h"

namespace fireflytrestle {

FlowEntry* FlowOwnerTable::Find(const FlowTuple& tuple) {
  const auto position = m_flows.find(tuple);
  return position == m_flows.end() ? nullptr : &position->second;
}

FlowEntry* FlowOwnerTable::Add(const FlowTuple& tuple) {
  if (m_flows.size() >= kMaxFlows && !m_flows.contains(tuple)) {
    return nullptr;
  }
  return &m_flows[tuple];
}

void FlowOwnerTable::EraseIdle(TimePoint before) {
  std::erase_if(m_flows, [&](const auto& item) {
    return item.second.last_packet < before;
  });
}

}  // namespace fireflytrestle
