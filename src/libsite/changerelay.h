#ifndef FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_
#define FIREFLYTRESTLE_LIBSITE_CHANGERELAY_H_

#include <chrono>
#include <map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libsite/sharedchanges.h"

namespace fireflytrestle {

/// \brief Decides which of several processes read a part of the store, and whom
/// they tell.
///
/// The processes with the lowest incarnations read and send the changes to all
/// others. One that hears of too few readers reads itself, so that a lost
/// reader costs a few reads and no knowledge.
class ChangeRelay {
 public:
  /// Two, so that the loss of one is not noticed.
  static constexpr std::size_t kReaderCount = 2;
  static constexpr std::chrono::milliseconds kHeartbeatInterval{500};
  /// A process that missed two beats and the time of a busy moment is gone.
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{1200};

  explicit ChangeRelay(Incarnation self) : m_self(self) {}

  /// Another process was named by a third one.
  void OnIntroduced(const SocketAddress& peer, TimePoint now);
  void OnPeerMessage(const SocketAddress& peer,
                     const SharedChanges& changes,
                     TimePoint now);

  /// Whether this process has to read the store itself.
  bool MustReadStore(TimePoint now);

  /// Processes to send beats and changes to.
  std::vector<SocketAddress> Peers(TimePoint now);

  /// Returns whether a beat is due, and counts it as sent.
  bool TakeDueHeartbeat(TimePoint now);

  /// Divides changes into messages that fit a datagram. An item that does not
  /// fit is left out together with what follows, and the receivers have to read
  /// it themselves.
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
