#ifndef FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_
#define FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_

#include <chrono>
#include <map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libsite/sharedchanges.h"

namespace fireflytrestle {

/// \brief Elects the processes that read a part of the store and keeps the list
/// of peers to which they send the changes.
///
/// The processes with the lowest incarnations read the store and send the
/// changes to all others. A process that receives no message from any reader
/// with a lower incarnation reads the store itself. The loss of a reader
/// therefore costs a few additional reads, but no changes.
class ChangeRelay {
 public:
  /// Two, so that changes still arrive without delay when one reader is lost.
  static constexpr std::size_t kReaderCount = 2;
  static constexpr std::chrono::milliseconds kHeartbeatInterval{500};
  /// A reader counts as lost after two missed heartbeats plus 200 ms for a
  /// process that is briefly busy.
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{1200};

  explicit ChangeRelay(Incarnation self) : m_self(self) {}

  /// Called when a third process reports the address of \p peer.
  void OnIntroduced(const SocketAddress& peer, TimePoint now);
  /// Called for every message from \p peer, with changes or as a heartbeat.
  void OnPeerMessage(const SocketAddress& peer,
                     const SharedChanges& changes,
                     TimePoint now);

  /// Returns whether this process has to read the store itself, by its
  /// incarnation and the readers from which messages arrived recently.
  bool MustReadStore(TimePoint now);

  /// Returns the processes to which heartbeats and changes are sent.
  std::vector<SocketAddress> Peers(TimePoint now);

  /// Returns whether a heartbeat is due, and schedules the next one if it is.
  bool TakeDueHeartbeat(TimePoint now);

  /// Splits changes into messages that each fit into a datagram. If one item
  /// alone is too large, it and all later items are left out, and the receivers
  /// have to read them from the store.
  static std::vector<SharedChanges> SplitIntoMessages(
      Revision after,
      Revision as_of,
      std::vector<StoreItem> items);

 private:
  struct Peer {
    TimePoint introduced_at{};
    TimePoint last_message_at{};
    Incarnation incarnation{};
    bool reads_store = false;
  };

  Incarnation m_self;
  std::map<SocketAddress, Peer> m_peers;
  bool m_reading = true;
  TimePoint m_next_heartbeat{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_
