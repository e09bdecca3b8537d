#ifndef FIREFLYTRESTLE_LIBMESH_PLATFORMREADRESULT_H_
#define FIREFLYTRESTLE_LIBMESH_PLATFORMREADRESULT_H_

#include <optional>

#include "libconfig/versioneddocument.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// \brief Outcome of one read of the platform's configuration or instance list.
struct PlatformReadResult {
  enum class Outcome { kDocument, kNotModified, kUnreachable, kInvalid };

  DocumentKind kind = DocumentKind::kConfiguration;
  Outcome outcome = Outcome::kUnreachable;
  /// Set for kDocument.
  std::optional<VersionedDocument> document;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_PLATFORMREADRESULT_H_
