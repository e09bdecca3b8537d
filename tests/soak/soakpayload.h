#ifndef FIREFLYTRESTLE_TESTS_SOAK_SOAKPAYLOAD_H_
#define FIREFLYTRESTLE_TESTS_SOAK_SOAKPAYLOAD_H_

#include <array>
#include <cstdint>
#include <cstring>
#include <span>

namespace fireflytrestle {

/// \brief Data of a request, which its answer repeats.
struct SoakPayload {
  std::uint64_t request = 0;
  /// Service that the request is meant for.
  std::uint64_t service = 0;

  static constexpr std::uint16_t kBytes = 16;
  /// Bit that is set in the number of a request that must not run twice.
  static constexpr std::uint64_t kOrder = 1ULL << 63U;

  bool operator==(const SoakPayload&) const = default;

  std::array<std::uint8_t, kBytes> Encode() const {
    std::array<std::uint8_t, kBytes> bytes;
    std::memcpy(bytes.data(), this, kBytes);
    return bytes;
  }

  /// Reads the data at the end of \p datagram.
  static SoakPayload Decode(std::span<const std::uint8_t> datagram) {
    SoakPayload payload;
    if (datagram.size() >= kBytes) {
      std::memcpy(&payload, datagram.last(kBytes).data(), kBytes);
    }
    return payload;
  }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKPAYLOAD_H_
