#include "libwire/msgpackwriter.h"

#include <msgpuck.h>

#include <cstring>

namespace fireflytrestle {

MsgpackWriter::MsgpackWriter(std::span<std::uint8_t> out)
    : m_begin(reinterpret_cast<char*>(out.data())),
      m_cursor(m_begin),
      m_end(m_begin + out.size()) {}

void MsgpackWriter::WriteArray(std::uint32_t size) {
  if (Reserve(mp_sizeof_array(size))) {
    m_cursor = mp_encode_array(m_cursor, size);
  }
}

void MsgpackWriter::WriteUint(std::uint64_t value) {
  if (Reserve(mp_sizeof_uint(value))) {
    m_cursor = mp_encode_uint(m_cursor, value);
  }
}

void MsgpackWriter::WriteBool(bool value) {
  if (Reserve(mp_sizeof_bool(value))) {
    m_cursor = mp_encode_bool(m_cursor, value);
  }
}

void MsgpackWriter::WriteNil() {
  if (Reserve(mp_sizeof_nil())) {
    m_cursor = mp_encode_nil(m_cursor);
  }
}

void MsgpackWriter::WriteBinary(std::span<const std::uint8_t> bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  if (Reserve(mp_sizeof_binl(size) + bytes.size())) {
    m_cursor = mp_encode_binl(m_cursor, size);
    // std::memcpy, because std::copy between different character types copies
    // byte by byte.
    if (!bytes.empty()) {
      std::memcpy(m_cursor, bytes.data(), bytes.size());
      m_cursor += bytes.size();
    }
  }
}

std::size_t MsgpackWriter::Finish() const {
  return m_overflow ? 0 : static_cast<std::size_t>(m_cursor - m_begin);
}

bool MsgpackWriter::Reserve(std::size_t bytes) {
  m_overflow = m_overflow || bytes > static_cast<std::size_t>(m_end - m_cursor);
  return !m_overflow;
}

}  // namespace fireflytrestle
