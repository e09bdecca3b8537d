#ifndef FIREFLYTRESTLE_LIBMESH_MESHMESSAGE_H_
#define FIREFLYTRESTLE_LIBMESH_MESHMESSAGE_H_

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libconfig/documentdelta.h"
#include "libconfig/versioneddocument.h"

namespace fireflytrestle {

// Messages on a mesh link, one msgpack array per frame.

enum class DocumentKind : std::uint8_t { kConfiguration = 1, kInstances = 2 };

/// Identifies one state of both documents.
struct ViewVersion {
  Revision configuration{};
  std::uint64_t configuration_digest = 0;
  Revision instances{};
  std::uint64_t instances_digest = 0;

  bool operator==(const ViewVersion&) const = default;
};

/// First message of each side on a link.
struct MeshHello {
  InstanceId id{};
  /// Leaves (agents) receive documents and answers but do not forward
  /// documents.
  bool leaf = false;
};

struct MeshHeartbeat {
  /// Sequence number of the sender's heartbeats on this link; the answer
  /// repeats it.
  std::uint64_t number = 0;
  ViewVersion version;
  /// Age of the latest contact of any process with the configuration service
  /// that the sender has recorded.
  std::chrono::milliseconds service_contact_age{0};
};

struct MeshHeartbeatAnswer {
  std::uint64_t number = 0;
  ViewVersion version;
  std::chrono::milliseconds service_contact_age{0};
  /// The sender's own view is confirmed, so this answer can confirm the view of
  /// the receiver.
  bool confirmed = false;
  /// For a leaf without an instance list: other balancers that it can open
  /// links to.
  std::vector<SocketAddress> alternatives;
};

struct MeshDelta {
  DocumentKind kind = DocumentKind::kConfiguration;
  DocumentDelta delta;
};

struct MeshDocument {
  DocumentKind kind = DocumentKind::kConfiguration;
  VersionedDocument document;
};

using MeshMessage = std::variant<MeshHello,
                                 MeshHeartbeat,
                                 MeshHeartbeatAnswer,
                                 MeshDelta,
                                 MeshDocument>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHMESSAGE_H_
