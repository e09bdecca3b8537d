#ifndef FIREFLYTRESTLE_LIBMESH_MESHACTION_H_
#define FIREFLYTRESTLE_LIBMESH_MESHACTION_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "libbase/socketaddress.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// Names a mesh link between its opening and its closing; never reused within a
/// process.
enum class LinkId : std::uint64_t {};

// What a MeshNode asks of its adapter.

/// Open a TCP link; answered by OnLinkOpened() or OnLinkClosed().
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

/// Read a document from the platform if it is newer than \ref after; answered
/// by OnPlatformRead().
struct ReadPlatformDocument {
  DocumentKind kind = DocumentKind::kConfiguration;
  Revision after{};
  /// How long the service may hold the call until there is a newer document; 0
  /// for an immediate answer.
  std::chrono::milliseconds wait{0};
};

/// A newer valid document is in force.
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
