#ifndef FIREFLYTRESTLE_LIBCONFIG_VERSIONEDDOCUMENT_H_
#define FIREFLYTRESTLE_LIBCONFIG_VERSIONEDDOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>

#include "libbase/ids.h"

namespace fireflytrestle {

/// \brief One published state of a document. Its entries can be compared and
/// sent individually.
struct VersionedDocument {
  Revision revision{};
  /// XXH3 hash of all entries, see ComputeDigest().
  std::uint64_t digest = 0;
  /// Maps each key, such as "target/12", to compact JSON text with object
  /// members in alphabetical order.
  std::map<std::string, std::string> entries;

  bool operator==(const VersionedDocument&) const = default;
};

/// Returns the digest of \p entries; equal entries give equal digests on every
/// machine.
std::uint64_t ComputeDigest(const std::map<std::string, std::string>& entries);

/// Returns whether \p a precedes \p b: by revision, then by digest, so that two
/// documents with the same revision have the same order in every process.
bool IsOlder(const VersionedDocument& a, const VersionedDocument& b);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_VERSIONEDDOCUMENT_H_
