#ifndef FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_
#define FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"
#include "libflow/shedpolicy.h"
#include "libflow/workestimator.h"

namespace fireflytrestle {

/// \brief Requests that are queued at an agent until its upstream has a free
/// slot for them.
///
/// An upstream processes its own queue in order of arrival, so that after an
/// outage every answer is late. This queue releases its requests in the order
/// of ShedPolicy instead, until their callers' time-out.
class PendingRequestQueue {
 public:
  struct Request {
    FlowTuple tuple;
    FlowClass flow_class;
    TimePoint arrived;
    /// Sequence number after the last queued byte.
    std::uint32_t end_sequence = 0;
    std::vector<std::vector<std::uint8_t>> packets;
    /// Whether it is expected to be answered within its latency objective; set
    /// when it is released.
    bool in_time = true;
  };

  /// Sets the number of slots of the upstream; 0 while it is unknown, when
  /// nothing is queued.
  void SetSlots(std::uint32_t slots) { m_slots = slots; }

  std::uint32_t slots() const { return m_slots; }

  /// Whether a request must be queued while \p running others are at the
  /// upstream.
  bool MustWait(std::size_t running) const;

  /// Whether a request may be queued at all: without a known time-out it would
  /// wait without a limit.
  bool MayWait(const FlowClass& flow_class) const {
    return m_slots > 0 && flow_class.timeout.count() > 0;
  }

  /// Whether a further request beside \p running others, for which its caller
  /// has waited for \p age, would still be answered in time, if it yields to
  /// the queued requests that cost as much or more.
  bool CanMeetDeadline(const FlowClass& flow_class,
                       std::size_t running,
                       TimePoint now,
                       Duration age = {}) const;

  /// Whether requests of a new flow would wait too long.
  bool IsOverloaded(const FlowClass& flow_class,
                    std::size_t running,
                    TimePoint now,
                    Duration age = {}) const {
    return MayWait(flow_class) &&
           !CanMeetDeadline(flow_class, running, now, age);
  }

  void Push(Request request) { m_waiting.push_back(std::move(request)); }

  /// Returns the queued request of the flow; null if there is none.
  Request* Find(const FlowTuple& tuple);
  void Erase(const FlowTuple& tuple);

  /// Removes and returns the next request, if the upstream has room for it
  /// beside \p running others.
  std::optional<Request> TakeNext(std::size_t running, TimePoint now);

  /// Removes and returns the requests that can no longer be answered before
  /// their callers' time-out.
  std::vector<Request> TakeExpired(TimePoint now);

  /// Records the time that the upstream worked on a request.
  void OnAnswer(const FlowClass& flow_class, Duration time) {
    m_work.OnAnswer(flow_class, time);
  }

  const WorkEstimator& work() const { return m_work; }

  /// Returns the expected work of all queued requests.
  Duration WaitingWork() const;

  std::size_t size() const { return m_waiting.size(); }
  /// Returns the number of queued requests of each priority.
  std::array<std::uint32_t, kMaxPriority + 1> CountByPriority() const;

 private:
  /// Returns the expected work of a request, at most half of its time-out: a
  /// class that is never tried would keep an estimate that is too long.
  Duration ExpectedWork(const FlowClass& flow_class) const;
  ShedPolicy::Request Describe(const Request& request, TimePoint now) const;
  std::vector<ShedPolicy::Request> DescribeAll(TimePoint now) const;
  /// Returns how many requests may be at the upstream beyond its slots.
  std::uint32_t QueuedAtUpstream() const;
  ShedPolicy::Capacity CapacityBeside(std::size_t running) const;

  std::uint32_t m_slots = 0;
  WorkEstimator m_work;
  ShedPolicy m_policy;
  std::list<Request> m_waiting;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_
