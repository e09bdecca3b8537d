#ifndef FIREFLYTRESTLE_LIBNET_SYSTEMRANDOM_H_
#define FIREFLYTRESTLE_LIBNET_SYSTEMRANDOM_H_

#include <cstdint>
#include <random>

namespace fireflytrestle {

/// Returns a random seed from the operating system's entropy source.
inline std::uint64_t DrawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_SYSTEMRANDOM_H_
