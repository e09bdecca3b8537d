#ifndef FIREFLYTRESTLE_LIBWIRE_MSGPACKREADER_H_
#define FIREFLYTRESTLE_LIBWIRE_MSGPACKREADER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "libwire/wireerror.h"

namespace fireflytrestle {

/// \brief Reads msgpack values one by one with bounds checks, without
/// allocating and without recursion.
///
/// The first error is kept, and every later read returns an empty value.
class MsgpackReader {
 public:
  explicit MsgpackReader(std::span<const std::uint8_t> data);

  /// Reads the header of an array and returns its number of elements.
  std::uint32_t ReadArray();
  /// Reads the header of an array. Fails with kMalformed unless the array has
  /// \p size elements.
  void ReadArrayOf(std::uint32_t size);
  /// Fails with kOutOfRange if the number is outside [\p min, \p max].
  std::uint64_t ReadUint(std::uint64_t min, std::uint64_t max);
  bool ReadBool();
  /// Reads a nil and returns true if the next value is nil; otherwise reads
  /// nothing and returns false.
  bool TryReadNil();
  /// Fails with kTooLarge if there are more than \p max_bytes. The result
  /// points into the data.
  std::span<const std::uint8_t> ReadBinary(std::size_t max_bytes);

  template <typename T>
  void Read(T* value, std::uint64_t min, std::uint64_t max) {
    *value = static_cast<T>(ReadUint(min, max));
  }

  /// Reads binary data of exactly N bytes; fails with kOutOfRange for any other
  /// length.
  template <std::size_t N>
  void Read(std::array<std::uint8_t, N>* value) {
    const std::span<const std::uint8_t> bytes = ReadBinary(SIZE_MAX);
    if (bytes.size() != N) {
      Fail(WireError::kOutOfRange);
      return;
    }
    std::copy(bytes.begin(), bytes.end(), value->begin());
  }

  /// Records \p error unless an earlier error is recorded.
  void Fail(WireError error);
  /// Returns the first error, or kMalformed if unread bytes are left.
  WireError Finish() const;
  bool ok() const { return m_error == WireError::kNone; }

 private:
  /// Returns whether another value can be read; fails with kTruncated at the
  /// end of the data.
  bool HasByte();

  const char* m_cursor;
  const char* m_end;
  WireError m_error = WireError::kNone;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_MSGPACKREADER_H_
