#ifndef FIREFLYTRESTLE_LIBNET_MESHSTATUS_H_
#define FIREFLYTRESTLE_LIBNET_MESHSTATUS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libmesh/meshaction.h"

namespace fireflytrestle {

/// \brief What the process knows of the other end of a mesh link.
struct MeshPeer {
  SocketAddress address;
  /// This process opened the link.
  bool outgoing = false;
  bool open = false;
  TimePoint since{};
  TimePoint last_message{};
  InstanceId id{};
  bool leaf = false;
  ViewVersion version;
};

/// \brief One of the two documents as in force here.
struct DocumentStatus {
  static constexpr std::size_t kReadOutcomeCount = 4;

  TimePoint installed{};
  std::uint64_t installs = 0;
  /// Newer documents that are not valid; the last good one stays in effect.
  std::uint64_t rejects = 0;
  /// Own reads of the platform by PlatformReadResult::Outcome.
  std::array<std::uint64_t, kReadOutcomeCount> reads{};
};

/// \brief State of configuration dissemination, for metrics and the state dump.
struct MeshStatus {
  std::map<LinkId, MeshPeer> peers;
  DocumentStatus configuration;
  DocumentStatus instances;
  bool lease_held = false;
  /// Since when the lease has been held or not.
  TimePoint lease_since{};
  std::uint64_t lease_losses = 0;
  /// Last contact with the configuration service that this process knows of.
  std::optional<TimePoint> service_contact;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_MESHSTATUS_H_
