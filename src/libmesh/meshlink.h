#ifndef FIREFLYTRESTLE_LIBMESH_MESHLINK_H_
#define FIREFLYTRESTLE_LIBMESH_MESHLINK_H_

#include <array>
#include <deque>
#include <optional>

#include "libbase/clock.h"
#include "libmesh/meshaction.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// \brief What one side knows of a mesh link.
struct MeshLink {
  struct SentHeartbeat {
    std::uint64_t number = 0;
    TimePoint at;
  };

  /// State of one document at the peer, as far as this side knows.
  struct PeerDocument {
    Revision revision{};
    std::uint64_t digest = 0;
    /// When this side last sent it a newer state; epoch if never.
    TimePoint sent_at{};
  };

  LinkId id{};
  /// The other side opened the link.
  bool accepted = false;
  /// Unset for accepted links.
  SocketAddress address;
  bool open = false;
  bool leaf = false;
  std::optional<InstanceId> peer;
  /// The peer has answered a heartbeat on this link.
  bool peer_answered = false;
  /// When the opening was asked for, then when the last message came.
  TimePoint last_activity;
  TimePoint last_heartbeat{};
  std::uint64_t next_heartbeat_number = 1;
  std::deque<SentHeartbeat> unanswered_heartbeats;
  /// Indexed by DocumentKind minus 1; empty until the peer told.
  std::array<std::optional<PeerDocument>, 2> documents;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHLINK_H_
