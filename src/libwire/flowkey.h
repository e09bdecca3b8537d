#ifndef FIREFLYTRESTLE_LIBWIRE_FLOWKEY_H_
#define FIREFLYTRESTLE_LIBWIRE_FLOWKEY_H_

#include <array>
#include <cstdint>

namespace fireflytrestle {

/// \brief A numbered SipHash key that authenticates flow tokens.
struct FlowKey {
  /// 0 to 15. Each token contains the number of its key, so that two keys can
  /// be valid during a key rotation.
  std::uint8_t number = 0;
  std::array<std::uint8_t, 16> secret{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_FLOWKEY_H_
