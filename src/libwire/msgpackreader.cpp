#include "libwire/msgpackreader.h"

#include <msgpuck.h>

namespace fireflytrestle {

MsgpackReader::MsgpackReader(std::span<const std::uint8_t> data)
    : m_cursor(reinterpret_cast<const char*>(data.data())),
      m_end(m_cursor + data.size()) {}

std::uint32_t MsgpackReader::ReadArray() {
  if (!HasByte()) {
    return 0;
  }
  if (mp_typeof(*m_cursor) != MP_ARRAY) {
    Fail(WireError::kMalformed);
    return 0;
  }
  if (mp_check_array(m_cursor, m_end) > 0) {
    Fail(WireError::kTruncated);
    return 0;
  }
  return mp_decode_array(&m_cursor);
}

void MsgpackReader::ReadArrayOf(std::uint32_t size) {
  if (ReadArray() != size) {
    Fail(WireError::kMalformed);
  }
}

std::uint64_t MsgpackReader::ReadUint(std::uint64_t min, std::uint64_t max) {
  if (!HasByte()) {
    return 0;
  }
  if (mp_typeof(*m_cursor) != MP_UINT) {
    Fail(WireError::kMalformed);
    return 0;
  }
  if (mp_check_uint(m_cursor, m_end) > 0) {
    Fail(WireError::kTruncated);
    return 0;
  }
  const std::uint64_t value = mp_decode_uint(&m_cursor);
  if (value < min || value > max) {
    Fail(WireError::kOutOfRange);
    return 0;
  }
  return value;
}

bool MsgpackReader::ReadBool() {
  if (!HasByte()) {
    return false;
  }
  if (mp_typeof(*m_cursor) != MP_BOOL) {
    Fail(WireError::kMalformed);
    return false;
  }
  return mp_decode_bool(&m_cursor);
}

bool MsgpackReader::TryReadNil() {
  if (!HasByte() || mp_typeof(*m_cursor) != MP_NIL) {
    return false;
  }
  mp_decode_nil(&m_cursor);
  return true;
}

std::span<const std::uint8_t> MsgpackReader::ReadBinary(std::size_t max_bytes) {
  if (!HasByte()) {
    return {};
  }
  if (mp_typeof(*m_cursor) != MP_BIN) {
    Fail(WireError::kMalformed);
    return {};
  }
  if (mp_check_binl(m_cursor, m_end) > 0) {
    Fail(WireError::kTruncated);
    return {};
  }
  const std::size_t size = mp_decode_binl(&m_cursor);
  if (size > static_cast<std::size_t>(m_end - m_cursor)) {
    Fail(WireError::kTruncated);
    return {};
  }
  if (size > max_bytes) {
    Fail(WireError::kTooLarge);
    return {};
  }
  const std::span<const std::uint8_t> bytes(
      reinterpret_cast<const std::uint8_t*>(m_cursor), size);
  m_cursor += size;
  return bytes;
}

void MsgpackReader::Fail(WireError error) {
  if (ok()) {
    m_error = error;
  }
}

WireError MsgpackReader::Finish() const {
  if (ok() && m_cursor != m_end) {
    return WireError::kMalformed;
  }
  return m_error;
}

bool MsgpackReader::HasByte() {
  if (m_cursor >= m_end) {
    Fail(WireError::kTruncated);
  }
  return ok();
}

}  // namespace fireflytrestle
