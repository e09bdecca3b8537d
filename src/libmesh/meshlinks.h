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

/// \brief The links of one process: opens the preferred ones, finds silent ones
/// and replaces them.
///
/// A peer that could not be reached or fell silent is a suspect: it is tried
/// again, but the next one in order of preference is linked as well, until the
/// suspect answers.
class MeshLinks {
 public:
  /// A heartbeat without an answer for this long means a silent link. The
  /// replacement has to answer within the rest of the view lease, 2.5 s after
  /// the last good heartbeat, of which up to 1 s passed before this one.
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{800};
  static constexpr std::chrono::milliseconds kOpenTimeout{1000};
  /// Leaves send a heartbeat every 2 s on each link.
  static constexpr std::chrono::milliseconds kAcceptedIdleTimeout{5000};
  /// Bounds how long a healed partition stays unnoticed.
  static constexpr std::chrono::milliseconds kSuspectRetryInterval{2000};
  /// Suspects that are tried at once; bounds the traffic of a process that can
  /// reach nobody.
  static constexpr std::size_t kMaxSuspectAttempts = 4;

  /// Opens, closes and replaces links. \p resumed tells that this process has
  /// not run for a while, so silence until now means nothing.
  void Maintain(const std::vector<LinkPreference>& preferences,
                bool resumed,
                TimePoint now,
                std::vector<MeshAction>* actions);

  MeshLink& Accept(TimePoint now);
  /// Returns null if the link is not known, or closed already.
  MeshLink* Find(LinkId id);
  /// Forgets a link that the adapter closed; its address becomes a suspect.
  void OnClosed(LinkId id, TimePoint now);
  /// The peer answered a heartbeat. Returns when that was sent; empty for an
  /// unknown number.
  std::optional<TimePoint> OnHeartbeatAnswer(MeshLink* link,
                                             std::uint64_t number);
  /// Closes a link to this process itself and avoids the address from now on.
  void OnSelfLink(const MeshLink& link, std::vector<MeshAction>* actions);

  /// Links in order of their ids.
  std::map<LinkId, MeshLink>& links() { return m_links; }
  const std::map<LinkId, MeshLink>& links() const { return m_links; }

  /// Links opened here whose peer has answered.
  std::size_t answered_count() const;

 private:
  struct Suspect {
    TimePoint next_try;
  };

  void CloseSilentLinks(TimePoint now, std::vector<MeshAction>* actions);
  /// Returns the addresses to be linked; the flag tells whether it is a
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
