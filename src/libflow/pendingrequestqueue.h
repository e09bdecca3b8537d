#ifndef FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_
#define FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief Requests that wait at an agent until its upstream has a slot for
/// them.
///
/// An upstream works off its own queue in order of arrival, so that after an
/// outage every answer is late. The gate lets those that can still be in time
/// go first: orders before others, and the newest first, since the oldest are
/// about to be late. The late ones follow by their age while there is time.
class PendingRequestQueue {
 public:
  struct Request {
    FlowTuple tuple;
    FlowClass flow_class;
    TimePoint arrived;
    /// Sequence number after the last byte that is held.
    std::uint32_t end_sequence = 0;
    std::vector<std::vector<std::uint8_t>> packets;
  };

  /// Slots of the upstream; 0 while not known, when nothing waits.
  void SetSlots(std::uint32_t slots) { m_slots = slots; }

  std::uint32_t slots() const { return m_slots; }

  /// Whether a request must wait while \p running ones are with the upstream.
  bool MustWait(std::size_t running) const;

  /// Whether a further request would still be answered in time if it waited.
  /// One that would not is better refused by the upstream at once.
  bool CanMeetDeadline(const FlowClass& flow_class) const;

  /// Whether the requests of a new flow would wait too long.
  bool IsOverloaded(const FlowClass& flow_class) const {
    return m_slots > 0 && flow_class.timeout.count() > 0 &&
           !CanMeetDeadline(flow_class);
  }

  void Push(Request request) { m_waiting.push_back(std::move(request)); }

  /// Returns the request that waits in the flow; null if none does.
  Request* Find(const FlowTuple& tuple);
  void Erase(const FlowTuple& tuple);

  /// Takes the next request out if the upstream has room for it beside
  /// \p running others.
  std::optional<Request> TakeNext(std::size_t running, TimePoint now);

  /// Takes out the requests that nobody waits for any more.
  std::vector<Request> TakeExpired(TimePoint now);

  /// Time from the delivery of a request to its answer.
  void OnAnswer(Duration time);

  std::size_t size() const { return m_waiting.size(); }

 private:
  /// Order in which requests go to the upstream; lower is sooner.
  std::pair<int, Duration> Rank(const Request& request, TimePoint now) const;

  /// Time until a request with \p ahead others before it is answered.
  Duration EstimateWait(std::size_t ahead) const;

  std::uint32_t m_slots = 0;
  /// Moving average of a request's work.
  Duration m_average_work = std::chrono::milliseconds(20);
  std::list<Request> m_waiting;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_PENDINGREQUESTQUEUE_H_
