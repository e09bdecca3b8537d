#ifndef FIREFLYTRESTLE_LIBAGENT_ACTIVEREQUEST_H_
#define FIREFLYTRESTLE_LIBAGENT_ACTIVEREQUEST_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "libagent/partsource.h"
#include "libagent/partwindow.h"
#include "libbase/clock.h"
#include "libbase/requestkind.h"
#include "libwire/refusalreason.h"

namespace fireflytrestle {

/// \brief An accepted request that is not finished: it waits, runs at the
/// upstream, or has a response that the caller has not fully acknowledged.
struct ActiveRequest {
  enum class State : std::uint8_t {
    /// Waits in the request queue for a slot.
    kQueued,
    /// Waits until \ref due before it is queued or, as a feed, assigned again.
    kBackoff,
    /// Is sent as soon as the flow has a working connection.
    kAssigned,
    /// Was sent to the upstream.
    kRunning,
    /// Was sent to the upstream, followed by a cancel on the same connection.
    kCancelling,
    /// The connection was lost; a query on the control connection finds out
    /// whether the upstream had started the request.
    kQueryingOutcome,
    /// The response is complete but the caller has not acknowledged all of it.
    kAwaitingAck,
  };

  std::uint32_t sequence = 0;
  RequestKind kind = RequestKind::kOrder;
  State state = State::kQueued;
  bool non_idempotent = false;
  bool holds_slot = false;
  /// The request was cancelled or its deadline passed while it was at the
  /// upstream; it must not be sent again.
  bool abandoned = false;
  /// Part of the response to this attempt has arrived.
  bool started = false;
  /// An earlier attempt may have run, so the request must not be refused:
  /// a refusal states that the request did not run.
  bool may_have_run = false;
  RefusalReason abandon_reason = RefusalReason::kCancelled;
  /// Number of attempts sent to the upstream before this one.
  std::uint8_t attempt = 0;
  /// Number of this attempt on the upstream protocol; 0 before it is sent.
  std::uint64_t number = 0;
  /// Identity of the upstream process that the request was sent to; it changes
  /// with each start of the upstream.
  std::uint64_t start_identity = 0;
  TimePoint deadline = TimePoint::max();
  /// Time limit of the current state; max() if it has none.
  TimePoint due = TimePoint::max();
  TimePoint sent;
  std::vector<std::uint8_t> body;
  std::unique_ptr<PartSource> response;
  PartWindow window;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_ACTIVEREQUEST_H_
