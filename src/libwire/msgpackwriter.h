#ifndef FIREFLYTRESTLE_LIBWIRE_MSGPACKWRITER_H_
#define FIREFLYTRESTLE_LIBWIRE_MSGPACKWRITER_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace fireflytrestle {

/// \brief Writes msgpack values one by one to a buffer, without allocating.
///
/// After a value that does not fit the buffer, nothing more is written.
class MsgpackWriter {
 public:
  explicit MsgpackWriter(std::span<std::uint8_t> out);

  void WriteArray(std::uint32_t size);
  void WriteUint(std::uint64_t value);
  void WriteBool(bool value);
  void WriteNil();
  void WriteBinary(std::span<const std::uint8_t> bytes);

  /// Returns the number of bytes written, or 0 if a value did not fit.
  std::size_t Finish() const;

 private:
  /// Returns whether \p bytes more fit the buffer. After the first that do not,
  /// always returns false.
  bool Reserve(std::size_t bytes);

  char* m_begin;
  char* m_cursor;
  char* m_end;
  bool m_overflow = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_MSGPACKWRITER_H_
