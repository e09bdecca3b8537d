#ifndef FIREFLYTRESTLE_LIBMESH_MESHLINK_H_
#define FIREFLYTRESTLE_LIBMESH_MESHLINK_H_

#include <array>
#include <deque>
#include <optional>

#include "libbase/clock.h"
#include "libmesh/meshaction.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// \brief State of one mesh link at this process.
struct MeshLink {
  struct SentHeartbeat {
    std::uint64_t number = 0;
    TimePoint at;
  };

  /// Last known state of one document at the peer.
  struct PeerDocument {
    Revision revision{};
    std::uint64_t digest = 0;
    /// When this process sent the peer this state; epoch if the peer reported
    /// it.
    TimePoint sent_at{};
  };

  LinkId id{};
  /// The peer opened the link.
  bool accepted = false;
  /// Address of the peer; unset for accepted links.
  SocketAddress address;
  bool open = false;
  bool leaf = false;
  std::optional<InstanceId> peer;
  /// The peer has answered a heartbeat on this link.
  bool peer_answered = false;
  /// When the link was requested, then when it was opened or the last message
  /// arrived.
  TimePoint last_activity;
  TimePoint last_heartbeat{};
  std::uint64_t next_heartbeat_number = 1;
  std::deque<SentHeartbeat> unanswered_heartbeats;
  /// Indexed by DocumentKind minus 1; empty until the peer reports its state.
  std::array<std::optional<PeerDocument>, 2> documents;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHLINK_H_
