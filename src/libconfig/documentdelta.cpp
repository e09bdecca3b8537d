#include "libconfig/documentdelta.h"

#include "libbase/errorcode.h"
#include "libconfig/versioneddocument.h"

namespace fireflytrestle {

DocumentDelta ComputeDelta(const VersionedDocument& from,
                           const VersionedDocument& to) {
  DocumentDelta delta{from.revision, from.digest, to.revision,
                      to.digest,     {},          {}};
  for (const auto& [key, value] : to.entries) {
    const auto found = from.entries.find(key);
    if (found == from.entries.end() || found->second != value) {
      delta.upserted.emplace(key, value);
    }
  }
  for (const auto& [key, value] : from.entries) {
    if (!to.entries.contains(key)) {
      delta.removed.push_back(key);
    }
  }
  return delta;
}

boost::leaf::result<VersionedDocument> ApplyDelta(
    const VersionedDocument& document,
    const DocumentDelta& delta) {
  if (delta.from_revision != document.revision ||
      delta.from_digest != document.digest) {
    return boost::leaf::new_error(ErrorCode::kDigestMismatch);
  }
  VersionedDocument result{delta.to_revision, delta.to_digest,
                           document.entries};
  for (const std::string& key : delta.removed) {
    result.entries.erase(key);
  }
  for (const auto& [key, value] : delta.upserted) {
    result.entries.insert_or_assign(key, value);
  }
  if (ComputeDigest(result.entries) != delta.to_digest) {
    return boost::leaf::new_error(ErrorCode::kDigestMismatch);
  }
  return result;
}

}  // namespace fireflytrestle
