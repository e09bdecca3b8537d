#ifndef FIREFLYTRESTLE_LIBMESH_MESHACTION_H_
#define FIREFLYTRESTLE_LIBMESH_MESHACTION_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "libbase/socketaddress.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// Identifies a mesh link until it is closed; never reused within a process.
enum class LinkId : std::uint64_t {};

// Actions that a MeshNode requests from its adapter, which does the I/O.

/// Opens a TCP link. The adapter reports the result with OnLinkOpened() or
/// OnLinkClosed().
struct OpenLink {
  LinkId link{};
  SocketAddress address;
};

struct CloseLink {
  LinkId link{};
};

struct SendOnLink {
  LinkId link{};
  MeshMessage message;
};

/// Reads a document from the platform if it is newer than \ref after. The
/// adapter reports the result with OnPlatformRead().
struct ReadPlatformDocument {
  DocumentKind kind = DocumentKind::kConfiguration;
  Revision after{};
  /// Long-poll time: how long the service may delay its answer until there is a
  /// newer document; 0 for an immediate answer.
  std::chrono::milliseconds wait{0};
};

/// Reports that a newer valid document is in force in the MeshNode.
struct InstallDocument {
  DocumentKind kind = DocumentKind::kConfiguration;
};

using MeshAction = std::variant<OpenLink,
                                CloseLink,
                                SendOnLink,
                                ReadPlatformDocument,
                                InstallDocument>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHACTION_H_
