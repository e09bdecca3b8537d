#include "libagent/responsebody.h"

#include <algorithm>

#include "libwire/callermessage.h"

namespace fireflytrestle {

bool ResponseBody::Append(std::span<const std::uint8_t> bytes, bool last) {
  if (m_bytes.size() + bytes.size() > kMaxBytes) {
    return false;
  }
  m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
  m_complete = last;
  return true;
}

std::uint32_t ResponseBody::end() const {
  return m_complete
             ? count()
             : static_cast<std::uint32_t>(m_bytes.size() / kMaxPartBytes);
}

std::uint32_t ResponseBody::count() const {
  if (!m_complete) {
    return 0;
  }
  const std::size_t parts =
      (m_bytes.size() + kMaxPartBytes - 1) / kMaxPartBytes;
  return static_cast<std::uint32_t>(std::max<std::size_t>(parts, 1));
}

std::span<const std::uint8_t> ResponseBody::Body(std::uint32_t index) const {
  const std::size_t begin = std::min(index * kMaxPartBytes, m_bytes.size());
  return std::span(m_bytes).subspan(
      begin, std::min(kMaxPartBytes, m_bytes.size() - begin));
}

}  // namespace fireflytrestle
