#ifndef FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_
#define FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libsite/sharedchanges.h"

namespace fireflytrestle {

class RandomSource;

/// \brief Elects the processes that read a part of the store and keeps the list
/// of peers to which they send the changes.
///
/// A few processes read the store and send the changes to all others. A process
/// that knows of too few readers becomes one, after a random delay, so that one
/// process takes over and not all. If too many read, those with the highest
/// incarnations stop. The loss of a reader therefore costs a few additional
/// reads, but no changes.
///
/// Only readers send heartbeats to all processes; the others answer the
/// readers. The number of messages per process therefore does not grow with the
/// number of processes, except for the readers' own. Readers also name their
/// peers to the other processes, so that a successor knows them.
class ChangeRelay {
 public:
  /// Two, so that changes still arrive without delay when one reader is lost.
  static constexpr std::size_t kReaderCount = 2;
  static constexpr std::chrono::milliseconds kHeartbeatInterval{500};
  /// A reader counts as lost after two missed heartbeats plus 200 ms for a
  /// process that is briefly busy.
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{1200};

  /// \p random draws the delays before this process takes over as a reader.
  ChangeRelay(Incarnation self, RandomSource* random);

  /// Called when a third process reports the address of \p peer.
  void OnIntroduced(const SocketAddress& peer, TimePoint now);
  /// Called for every message from \p peer, with changes or as a heartbeat.
  void OnPeerMessage(const SocketAddress& peer,
                     const SharedChanges& changes,
                     TimePoint now);

  /// Returns whether this process has to read the store itself, by the readers
  /// from which messages arrived recently.
  bool MustReadStore(TimePoint now);

  /// Returns the processes to which changes are sent.
  std::vector<SocketAddress> Peers(TimePoint now);

  /// Returns the processes to which heartbeats are sent: all peers of a reader,
  /// only the readers for any other process.
  std::vector<SocketAddress> HeartbeatReceivers(TimePoint now);

  /// Returns the next processes that a reader names in its heartbeats, at most
  /// kMaxSharedPeers; all that have sent messages recently in turn. Empty for
  /// any other process.
  std::vector<SocketAddress> NextPeerSample(TimePoint now);

  /// Returns whether a heartbeat is due, and schedules the next one if it is.
  /// One is due at once when \p reads_store, the answer of
  /// StoreFollower::ReadsStore(), has changed.
  bool TakeDueHeartbeat(bool reads_store, TimePoint now);

  /// Splits changes into messages that each fit into a datagram. If one item
  /// alone is too large, it and all later items are left out, and the last
  /// message tells the receivers to read them from the store.
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

    bool IsActiveReader(TimePoint now) const {
      return reads_store && now - last_message_at < kHeartbeatTimeout;
    }
  };

  Incarnation m_self;
  std::map<SocketAddress, Peer> m_peers;
  /// Address of this process, once a message of its own has reached it.
  std::optional<SocketAddress> m_own_address;
  /// Last process that NextPeerSample() returned.
  SocketAddress m_last_sampled;
  bool m_reading = false;
  /// Share of the longest delay after which this process takes over.
  double m_delay_share;
  /// Time of the first decision.
  std::optional<TimePoint> m_started;
  /// Since when there have been no readers, or too few.
  std::optional<TimePoint> m_none_since;
  std::optional<TimePoint> m_too_few_since;
  TimePoint m_next_heartbeat{};
  /// What the last heartbeat said.
  bool m_claimed_to_read = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_
