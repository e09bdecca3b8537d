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

/// \brief State of a mesh link and of the process at its other end.
struct MeshPeer {
  SocketAddress address;
  /// Whether this process opened the link.
  bool outgoing = false;
  bool open = false;
  TimePoint since{};
  TimePoint last_message{};
  InstanceId id{};
  bool leaf = false;
  ViewVersion version;
};

/// \brief Status of one of the two documents in this process.
struct DocumentStatus {
  static constexpr std::size_t kReadOutcomeCount = 4;

  TimePoint installed{};
  std::uint64_t installs = 0;
  /// Newer documents that were rejected as invalid; the last valid one stays in
  /// effect.
  std::uint64_t rejects = 0;
  /// Malformed entries of the present document, which were skipped.
  std::size_t unreadable_entries = 0;
  /// Reads of the platform by this process, by PlatformReadResult::Outcome.
  std::array<std::uint64_t, kReadOutcomeCount> reads{};
};

/// \brief State of configuration dissemination, for metrics and the state dump.
struct MeshStatus {
  std::map<LinkId, MeshPeer> peers;
  DocumentStatus configuration;
  DocumentStatus instances;
  bool lease_held = false;
  /// When \ref lease_held last changed.
  TimePoint lease_since{};
  std::uint64_t lease_losses = 0;
  /// Last contact of any process with the configuration service, as far as it
  /// was reported to this process.
  std::optional<TimePoint> service_contact;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_MESHSTATUS_H_
