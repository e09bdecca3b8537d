#ifndef FIREFLYTRESTLE_LIBCONFIG_DOCUMENTDELTA_H_
#define FIREFLYTRESTLE_LIBCONFIG_DOCUMENTDELTA_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libbase/ids.h"

namespace fireflytrestle {

struct VersionedDocument;

/// \brief The changes from one published state of a document to a later one.
struct DocumentDelta {
  Revision from_revision{};
  std::uint64_t from_digest = 0;
  Revision to_revision{};
  std::uint64_t to_digest = 0;
  std::map<std::string, std::string> upserted;
  std::vector<std::string> removed;

  bool operator==(const DocumentDelta&) const = default;
};

DocumentDelta ComputeDelta(const VersionedDocument& from,
                           const VersionedDocument& to);

/// Returns \p document with \p delta applied. Fails with
/// ErrorCode::kDigestMismatch if the delta does not start at \p document or the
/// result does not have the digest that the delta names.
boost::leaf::result<VersionedDocument> ApplyDelta(
    const VersionedDocument& document,
    const DocumentDelta& delta);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_DOCUMENTDELTA_H_
