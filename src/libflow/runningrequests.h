#ifndef FIREFLYTRESTLE_LIBFLOW_RUNNINGREQUESTS_H_
#define FIREFLYTRESTLE_LIBFLOW_RUNNINGREQUESTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowclass.h"

namespace fireflytrestle {

class WorkEstimator;

/// \brief The requests that were sent to an upstream and that it has not begun
/// to answer. An upstream works on as many as it has slots, and starts the
/// others in order of arrival.
class RunningRequests {
 public:
  /// Sets the number of slots of the upstream; 0 while it is unknown, when the
  /// start of requests is unknown, too.
  void SetSlots(std::uint32_t slots) { m_slots = slots; }

  /// Adds a request that is sent to the upstream, and returns its number.
  std::uint64_t Add(const FlowClass& flow_class, TimePoint now);

  /// Removes a request, whose slot the next one gets. Returns for how long the
  /// upstream has worked on it; empty if it has not begun, as far as is known.
  std::optional<Duration> Remove(std::uint64_t number, TimePoint now);

  /// Returns the expected time until a slot is free for a new request, with
  /// \p queued further requests before it that need \p queued_work in total.
  /// Requests that hang count with the time that they have taken.
  Duration Wait(const WorkEstimator& estimator,
                std::size_t queued,
                Duration queued_work,
                TimePoint now) const;

  /// Returns how many requests have been without an answer for too long since
  /// the last call, which is due every 50 ms. Only requests count that the
  /// upstream could start at once: others may have waited for their slot. Each
  /// counts once.
  int TakeUnanswered(const WorkEstimator& estimator, TimePoint now);

  /// The agent was paused: the time of present requests says nothing about the
  /// upstream.
  void OnPause(TimePoint now);

 private:
  struct Request {
    std::uint64_t number;
    FlowClass flow_class;
    /// When the upstream began to work on the request; empty if it waits.
    std::optional<TimePoint> started;
    /// Whether a missing answer counts as a failure, and has not yet.
    bool counts_as_failure = false;
    /// The agent was paused while the upstream worked on it.
    bool is_distorted = false;
  };

  void StartNext(TimePoint now);

  std::uint32_t m_slots = 0;
  std::uint32_t m_started = 0;
  std::uint64_t m_last_number = 0;
  TimePoint m_last_check{};
  /// In order of delivery.
  std::vector<Request> m_requests;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_RUNNINGREQUESTS_H_
