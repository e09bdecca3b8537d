#ifndef FIREFLYTRESTLE_LIBROUTING_RENDEZVOUSHASH_H_
#define FIREFLYTRESTLE_LIBROUTING_RENDEZVOUSHASH_H_

#include <cstdint>

#include "libbase/ids.h"
#include "libwire/callermessage.h"

namespace fireflytrestle {

/// The 64-bit finalizer of MurmurHash3: every input bit affects every output
/// bit.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xFF51AFD7ED558CCDULL;
  value ^= value >> 33U;
  value *= 0xC4CEB9FE1A85EC53ULL;
  value ^= value >> 33U;
  return value;
}

/// Target ids are small and consecutive; this distributes them over all 64
/// bits.
constexpr std::uint64_t TargetHashKey(TargetId id) {
  return MixBits(static_cast<std::uint64_t>(id) + 0x9E3779B97F4A7C15ULL);
}

constexpr std::uint64_t NonceHashKey(const Nonce& nonce) {
  std::uint64_t key = 0;
  for (std::size_t i = 0; i < nonce.size(); ++i) {
    key = (i % 8 == 0 ? MixBits(key) : key) ^
          static_cast<std::uint64_t>(nonce[i]) << (8 * (i % 8));
  }
  return MixBits(key);
}

/// The weight is the same on all balancers, so that a repeated OPEN tends to
/// reach the same target regardless of which balancer receives it.
constexpr std::uint64_t RendezvousWeight(std::uint64_t nonce_key,
                                         std::uint64_t target_key) {
  // XOR of both halves of one 128-bit product. This runs once per target for
  // every OPEN and has to be cheap; the keys are already mixed.
  __extension__ using Product = unsigned __int128;
  const Product product = static_cast<Product>(nonce_key) * target_key;
  return static_cast<std::uint64_t>(product >> 64U) ^
         static_cast<std::uint64_t>(product);
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_RENDEZVOUSHASH_H_
