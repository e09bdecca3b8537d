#ifndef FIREFLYTRESTLE_LIBMESH_PLATFORMREADSCHEDULER_H_
#define FIREFLYTRESTLE_LIBMESH_PLATFORMREADSCHEDULER_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "libbase/clock.h"
#include "libmesh/meshaction.h"

namespace fireflytrestle {

class RandomSource;

/// \brief Decides when this process reads the configuration and the instance
/// list from the platform, so that all processes together stay within the call
/// rate that the platform's service can handle.
///
/// Processes record the latest contact of any process with the service and
/// report it in heartbeats. Watchers read all the time. Another balancer
/// becomes a fallback reader if the recorded contact is older than 2.5 s or if
/// its lease is at risk; it then reads for at least 10 s to 20 s, so that its
/// contact is recorded by others. A leaf reads only the instance list, to find
/// balancers when none answers.
class PlatformReadScheduler {
 public:
  /// A balancer becomes a fallback reader if the latest recorded contact is
  /// older than this. Watchers have a contact once a second, and heartbeats
  /// spread it; with 2 s, one in five of 200 balancers became fallback readers
  /// although all watchers worked.
  static constexpr std::chrono::milliseconds kContactTimeout{2500};

  struct NodeState {
    bool leaf = false;
    bool watcher = false;
    Revision configuration{};
    Revision instances{};
    /// Number of balancers; fallback readers spread their first calls over a
    /// time in proportion to it.
    std::size_t balancers = 0;
    /// When the request was sent whose answer last confirmed the view.
    TimePoint last_confirmed;
    /// When the last heartbeat answer arrived; start of the process if none.
    TimePoint last_answer;
  };

  enum class Outcome {
    kInstalled,
    /// The platform answered and has nothing newer.
    kNotNewer,
    /// The platform answered and the published document is not valid.
    kInvalid,
    kUnreachable,
  };

  /// \p random must outlive this object.
  PlatformReadScheduler(RandomSource* random, TimePoint now);

  void OnTick(const NodeState& node_state,
              TimePoint now,
              std::vector<MeshAction>* actions);

  /// Handles the end of a read. \p rejected_revision is the revision of a
  /// document that is not valid. Returns when the read was requested; empty if
  /// none was in progress.
  std::optional<TimePoint> OnResult(DocumentKind kind,
                                    Outcome outcome,
                                    Revision rejected_revision,
                                    TimePoint now);

  /// Records that some process had a contact with the service at \p contact.
  void OnContact(TimePoint contact);

  /// Returns the age of the latest recorded contact; one hour if it is older or
  /// if there is none.
  std::chrono::milliseconds contact_age(TimePoint now) const;

 private:
  /// State of the reads of one document.
  struct ReadState {
    std::optional<TimePoint> sent_at;
    TimePoint next{};
    int failures = 0;
    /// Latest revision that was not valid, and until when it is not requested
    /// again.
    Revision rejected_revision{};
    TimePoint rejected_until{};
  };

  ReadState& reads(DocumentKind kind) {
    return m_reads[static_cast<std::size_t>(kind) - 1];
  }
  void TickLeaf(const NodeState& node_state,
                TimePoint now,
                std::vector<MeshAction>* actions);
  void ReadIfDue(DocumentKind kind,
                 Revision have,
                 std::chrono::milliseconds wait,
                 TimePoint now,
                 std::vector<MeshAction>* actions);
  /// Returns a uniformly distributed random time below \p limit.
  Duration Below(Duration limit);
  /// Returns the time to the next read of the instance list.
  Duration InstanceDelay();
  Duration RetryDelay(int failures);

  RandomSource* m_random;
  TimePoint m_started_at;
  std::array<ReadState, 2> m_reads;
  std::optional<TimePoint> m_last_contact;
  /// Whether this process has been reading since an earlier tick.
  bool m_was_reading = false;
  bool m_leaf = false;
  bool m_watcher = false;
  bool m_starting = false;
  /// The latest read of the configuration reached the service.
  bool m_platform_reached = false;
  TimePoint m_fallback_until{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_PLATFORMREADSCHEDULER_H_
