#ifndef FIREFLYTRESTLE_LIBMESH_MESHLINKS_H_
#define FIREFLYTRESTLE_LIBMESH_MESHLINKS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "libbase/clock.h"
#include "libmesh/meshaction.h"
#include "libmesh/meshlink.h"

namespace fireflytrestle {

struct LinkPreference;

/// \brief Manages the mesh links of one process: opens links to the preferred
/// balancers, detects silent links and replaces them.
///
/// A peer that cannot be reached or goes silent becomes a suspect. Its link is
/// retried, but until the suspect answers, a link to the next balancer of the
/// ranking is opened as well.
class MeshLinks {
 public:
  /// A link is silent if a heartbeat is unanswered for this long. The link that
  /// replaces it has to answer before the view lease ends, 2.5 s after the last
  /// answered heartbeat was sent; up to 1 s of that has passed before the
  /// unanswered heartbeat is sent.
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{800};
  static constexpr std::chrono::milliseconds kOpenTimeout{1000};
  /// An accepted link without messages for this long is closed. Leaves send a
  /// heartbeat every 2 s on each link.
  static constexpr std::chrono::milliseconds kAcceptedIdleTimeout{5000};
  /// Time between attempts to reach a suspect; bounds the time until a healed
  /// partition is detected.
  static constexpr std::chrono::milliseconds kSuspectRetryInterval{2000};
  /// Limit of suspects that are retried at the same time; bounds the traffic of
  /// a process that cannot reach any balancer.
  static constexpr std::size_t kMaxSuspectAttempts = 4;

  /// Opens, closes and replaces links. \p resumed means that this process was
  /// paused, so silence of its links before \p now is ignored.
  void Maintain(const std::vector<LinkPreference>& preferences,
                bool resumed,
                TimePoint now,
                std::vector<MeshAction>* actions);

  MeshLink& Accept(TimePoint now);
  /// Returns null if the link is unknown or already closed.
  MeshLink* Find(LinkId id);
  /// Removes a link that the adapter reported as closed. If this process opened
  /// the link, its address becomes a suspect.
  void OnClosed(LinkId id, TimePoint now);
  /// Handles the answer to heartbeat \p number. Returns when that heartbeat was
  /// sent; empty for an unknown number.
  std::optional<TimePoint> OnHeartbeatAnswer(MeshLink* link,
                                             std::uint64_t number);
  /// Closes a link from this process to itself and never connects to its
  /// address again.
  void OnSelfLink(const MeshLink& link, std::vector<MeshAction>* actions);

  /// Links in order of their ids.
  std::map<LinkId, MeshLink>& links() { return m_links; }
  const std::map<LinkId, MeshLink>& links() const { return m_links; }

  /// Returns the number of links opened by this process on which the peer has
  /// answered a heartbeat.
  std::size_t answered_count() const;

 private:
  struct Suspect {
    TimePoint next_try;
  };

  void CloseSilentLinks(TimePoint now, std::vector<MeshAction>* actions);
  /// Returns the addresses to keep links to, each with whether it is a
  /// suspect.
  std::map<SocketAddress, bool> SelectAddresses(
      const std::vector<LinkPreference>& preferences,
      TimePoint now) const;
  void MarkSuspect(const SocketAddress& address, TimePoint now);
  const MeshLink* FindOutgoing(const SocketAddress& address) const;

  std::map<LinkId, MeshLink> m_links;
  std::map<SocketAddress, Suspect> m_suspects;
  std::uint64_t m_last_id = 0;
  TimePoint m_resumed_at{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHLINKS_H_
