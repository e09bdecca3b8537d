#include "libconfig/versioneddocument.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <memory>
#include <tuple>

namespace fireflytrestle {

namespace {

void UpdateWithText(XXH3_state_t* state, const std::string& text) {
  // The length, in a fixed byte order, distinguishes ("ab", "c") from
  // ("a", "bc").
  unsigned char length[4];
  for (int i = 0; i < 4; ++i) {
    length[i] = static_cast<unsigned char>(text.size() >> (8 * i));
  }
  XXH3_64bits_update(state, length, sizeof(length));
  XXH3_64bits_update(state, text.data(), text.size());
}

}  // namespace

std::uint64_t ComputeDigest(const std::map<std::string, std::string>& entries) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (const auto& [key, value] : entries) {
    UpdateWithText(state.get(), key);
    UpdateWithText(state.get(), value);
  }
  return XXH3_64bits_digest(state.get());
}

bool IsOlder(const VersionedDocument& a, const VersionedDocument& b) {
  return std::tie(a.revision, a.digest) < std::tie(b.revision, b.digest);
}

}  // namespace fireflytrestle
