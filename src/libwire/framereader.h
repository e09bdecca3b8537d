#ifndef FIREFLYTRESTLE_LIBWIRE_FRAMEREADER_H_
#define FIREFLYTRESTLE_LIBWIRE_FRAMEREADER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "libwire/wireerror.h"

namespace fireflytrestle {

/// Largest frame body: a document of 1 MiB and 4 KiB for its header.
inline constexpr std::size_t kMaxFrameBytes = (1U << 20U) + 4096;

/// Returns a frame: the length of \p body as a 4-byte big-endian number,
/// followed by \p body.
std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> body);

/// \brief Splits a byte stream into frames.
class FrameReader {
 public:
  /// Appends bytes received from the stream. Does nothing after an error.
  void Append(std::span<const std::uint8_t> bytes);

  /// Returns the body of the next complete frame, or nothing if more bytes are
  /// needed or an error has occurred.
  std::optional<std::vector<std::uint8_t>> Next();

  /// Returns kTooLarge after a frame longer than kMaxFrameBytes. No further
  /// frames can then be read from the stream.
  WireError error() const { return m_error; }

 private:
  std::vector<std::uint8_t> m_buffer;
  std::size_t m_offset = 0;
  WireError m_error = WireError::kNone;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_FRAMEREADER_H_
