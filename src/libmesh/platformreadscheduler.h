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

/// \brief Decides when this process reads the platform's configuration service
/// and instance list, within the calls that the service bears.
///
/// Watchers read all the time. Another balancer steps in when it learns of no
/// contact with the service for 2.5 s or is about to lose its lease; it then
/// goes on reading for a term, so that its contact is known to others. A leaf
/// reads only the instance list, to find balancers when none answers.
class PlatformReadScheduler {
 public:
  /// Without any contact for this long, a balancer steps in. Contacts are known
  /// once a second at the watchers and travel with heartbeats; at 2 s, one in
  /// five of 200 balancers stepped in although all watchers worked.
  static constexpr std::chrono::milliseconds kContactTimeout{2500};

  struct NodeState {
    bool leaf = false;
    bool watcher = false;
    Revision configuration{};
    Revision instances{};
    /// Balancers known, which spread their calls over a time in proportion.
    std::size_t balancers = 0;
    /// Time of the question whose answer last confirmed the view.
    TimePoint last_confirmed;
    /// Last answer of any balancer; start of the process if none.
    TimePoint last_answer;
  };

  enum class Outcome {
    kInstalled,
    /// Reached, and nothing newer.
    kNotNewer,
    /// Reached, and what it publishes is not valid.
    kInvalid,
    kUnreachable,
  };

  /// \p random outlives this object.
  PlatformReadScheduler(RandomSource* random, TimePoint now);

  void OnTick(const NodeState& node_state,
              TimePoint now,
              std::vector<MeshAction>* actions);

  /// A read ended. \p refused is the revision of a document that is not valid.
  /// Returns when the read was asked for; empty if there was none.
  std::optional<TimePoint> OnResult(DocumentKind kind,
                                    Outcome outcome,
                                    Revision rejected_revision,
                                    TimePoint now);

  /// Another process reports a contact with the service at \p contact.
  void OnContact(TimePoint contact);

  /// Age of the latest contact known; at most an hour, also if there is none.
  std::chrono::milliseconds contact_age(TimePoint now) const;

 private:
  /// State of the reads of one document.
  struct ReadState {
    std::optional<TimePoint> sent_at;
    TimePoint next{};
    int failures = 0;
    /// Revision that is not valid, and until when not to ask for it again.
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
  /// Returns an evenly distributed time below \p limit.
  Duration Below(Duration limit);
  /// Returns the time to the next read of the instance list.
  Duration InstanceDelay();
  Duration RetryDelay(int failures);

  RandomSource* m_random;
  TimePoint m_started_at;
  std::array<ReadState, 2> m_reads;
  std::optional<TimePoint> m_last_contact;
  /// Whether reads are wanted since an earlier tick.
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
