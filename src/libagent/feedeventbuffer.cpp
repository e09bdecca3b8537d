#include "libagent/feedeventbuffer.h"

#include <algorithm>

namespace fireflytrestle {

FeedEventBuffer::Result FeedEventBuffer::Append(
    std::uint32_t event,
    std::span<const std::uint8_t> body) {
  if (event < m_end) {
    return Result::kDuplicate;
  }
  if (event > m_end) {
    return Result::kGap;
  }
  if (m_bodies.size() >= kCapacity) {
    return Result::kFull;
  }
  m_bodies.emplace_back(body.begin(), body.end());
  ++m_end;
  return Result::kAppended;
}

void FeedEventBuffer::Close() {
  m_closed = 1;
}

std::span<const std::uint8_t> FeedEventBuffer::Body(std::uint32_t index) const {
  if (index < m_first || index >= m_end) {
    return {};
  }
  return m_bodies[index - m_first];
}

void FeedEventBuffer::Release(std::uint32_t acknowledged) {
  if (acknowledged <= m_first) {
    return;
  }
  const std::size_t count =
      std::min<std::size_t>(acknowledged - m_first, m_bodies.size());
  m_bodies.erase(m_bodies.begin(),
                 m_bodies.begin() + static_cast<std::ptrdiff_t>(count));
  m_first += static_cast<std::uint32_t>(count);
}

}  // namespace fireflytrestle
