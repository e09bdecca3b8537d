#include "libagent/flowtable.h"

namespace fireflytrestle {

Flow* FlowTable::Open(const Nonce& nonce, TimePoint now) {
  std::uint32_t index = 0;
  if (m_free_indices.size() >= kMinFreeIndices) {
    index = m_free_indices.front();
    m_free_indices.pop_front();
  } else {
    index = static_cast<std::uint32_t>(m_entries.size());
    m_entries.emplace_back();
  }
  Entry& entry = m_entries[index];
  entry.flow = std::make_unique<Flow>();
  entry.flow->handle = {index, entry.generation};
  m_nonces.insert_or_assign(nonce, entry.flow->handle);
  m_handshakes.emplace_back(now, nonce);
  ++m_size;
  return entry.flow.get();
}

Flow* FlowTable::Find(FlowHandle handle) const {
  if (handle.index >= m_entries.size()) {
    return nullptr;
  }
  const Entry& entry = m_entries[handle.index];
  return entry.generation == handle.generation ? entry.flow.get() : nullptr;
}

Flow* FlowTable::FindNonce(const Nonce& nonce) const {
  const auto found = m_nonces.find(nonce);
  return found == m_nonces.end() ? nullptr : Find(found->second);
}

void FlowTable::ExpireNonces(TimePoint time) {
  while (!m_handshakes.empty() && m_handshakes.front().first < time) {
    m_nonces.erase(m_handshakes.front().second);
    m_handshakes.pop_front();
  }
}

void FlowTable::Close(Flow* flow) {
  const std::uint32_t index = flow->handle.index;
  Entry& entry = m_entries[index];
  entry.flow.reset();
  ++entry.generation;
  m_free_indices.push_back(index);
  --m_size;
}

void FlowTable::ForEach(const std::function<void(Flow*)>& visit) {
  for (std::size_t index = 0; index < m_entries.size(); ++index) {
    if (m_entries[index].flow) {
      visit(m_entries[index].flow.get());
    }
  }
}

}  // namespace fireflytrestle
