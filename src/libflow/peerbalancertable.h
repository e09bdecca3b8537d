#ifndef FIREFLYTRESTLE_LIBFLOW_PEERBALANCERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_PEERBALANCERTABLE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief The other balancers that a balancer knows: those that agents announce
/// and those that sent it a message. They may know the owner of a flow at an
/// upstream that this balancer has not heard of.
class PeerBalancerTable {
 public:
  /// A balancer that has answered none of kMinQueries queries for this long has
  /// ended, and what it knew is lost with it. The time is that after which a
  /// silent agent is lost, since callers wait for the same resets.
  static constexpr std::chrono::milliseconds kAnswerTimeout{350};
  static constexpr int kMinQueries = 3;

  explicit PeerBalancerTable(TimePoint now) : m_started(now) {}

  /// Handles an announcement. Returns whether the balancer needs a greeting: it
  /// has started or restarted, and may not know this one. One that started at
  /// about the same time hears this one announced, too.
  bool OnAnnounced(const SocketAddress& address, TimePoint now);

  /// Records a message from a balancer.
  void OnMessage(const SocketAddress& address);

  /// Records the address of this balancer, which agents announce, too.
  void SetSelf(const SocketAddress& address);

  /// Records a query to a balancer.
  void OnQueried(const SocketAddress& address, TimePoint now);

  bool Contains(const SocketAddress& address) const {
    return m_peers.contains(address);
  }
  /// Whether the balancer has sent no message since the last query.
  bool IsUnanswered(const SocketAddress& address) const;

  /// Called every 50 ms. After a longer gap this process was paused, and the
  /// answers to its queries have not been read yet.
  void OnTick(TimePoint now);

  /// Removes the balancers that no longer answer.
  void Prune(TimePoint now);

  std::vector<SocketAddress> Addresses() const;

  /// Returns the next balancers in turn, up to \p count of them.
  std::vector<SocketAddress> Next(std::size_t count);

 private:
  struct Peer {
    /// First and last announcement of the peer's present run.
    TimePoint announced_since{};
    TimePoint last_announced{};
    /// When the last greeting was sent.
    TimePoint greeted{};
    /// First query since the last message; the epoch if there is none.
    TimePoint unanswered_since{};
    int unanswered_queries = 0;
  };

  TimePoint m_started;
  TimePoint m_last_tick{};
  std::map<SocketAddress, Peer> m_peers;
  /// The unspecified address before it is known.
  SocketAddress m_self;
  /// Last balancer that Next() returned.
  SocketAddress m_last_selected;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PEERBALANCERTABLE_H_
