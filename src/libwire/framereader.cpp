#include "libwire/framereader.h"

namespace fireflytrestle {

namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> body) {
  std::vector<std::uint8_t> frame;
  frame.reserve(kLengthBytes + body.size());
  for (std::size_t i = kLengthBytes; i > 0; --i) {
    frame.push_back(static_cast<std::uint8_t>(body.size() >> (8 * (i - 1))));
  }
  frame.insert(frame.end(), body.begin(), body.end());
  return frame;
}

void FrameReader::Append(std::span<const std::uint8_t> bytes) {
  if (m_error != WireError::kNone) {
    return;
  }
  // Moves the remaining bytes to the front only if at least half of the buffer
  // has been consumed, so that many small frames in one read take linear time.
  if (m_offset > 0 && m_offset >= m_buffer.size() - m_offset) {
    m_buffer.erase(m_buffer.begin(),
                   m_buffer.begin() + static_cast<std::ptrdiff_t>(m_offset));
    m_offset = 0;
  }
  m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<std::vector<std::uint8_t>> FrameReader::Next() {
  const std::size_t available = m_buffer.size() - m_offset;
  if (m_error != WireError::kNone || available < kLengthBytes) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    size = size << 8U | m_buffer[m_offset + i];
  }
  if (size > kMaxFrameBytes) {
    m_error = WireError::kTooLarge;
    m_buffer.clear();
    m_offset = 0;
    return std::nullopt;
  }
  if (available - kLengthBytes < size) {
    return std::nullopt;
  }
  const auto begin =
      m_buffer.begin() + static_cast<std::ptrdiff_t>(m_offset + kLengthBytes);
  std::vector<std::uint8_t> body(begin,
                                 begin + static_cast<std::ptrdiff_t>(size));
  m_offset += kLengthBytes + size;
  return body;
}

}  // namespace fireflytrestle
