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

/// \brief A request that was taken and is not yet done with.
struct ActiveRequest {
  enum class State : std::uint8_t {
    /// Waits for a slot.
    kQueued,
    /// Waits until \ref due before it is queued again.
    kBackoff,
    /// May be sent as soon as the flow has a working connection.
    kAssigned,
    /// Was sent to the upstream.
    kRunning,
    /// Was sent, then a cancel on the same connection.
    kCancelling,
    /// The connection was lost; the upstream is asked whether it had started.
    kQueryingOutcome,
    /// The response is complete and not yet acknowledged.
    kAwaitingAck,
  };

  std::uint32_t sequence = 0;
  RequestKind kind = RequestKind::kOrder;
  State state = State::kQueued;
  bool non_idempotent = false;
  bool holds_slot = false;
  /// The caller no longer waits: the request must not be sent again.
  bool abandoned = false;
  /// Some of the response to this attempt has come.
  bool started = false;
  /// An earlier attempt may have run, so a refusal would be false.
  bool may_have_run = false;
  RefusalReason abandon_reason = RefusalReason::kCancelled;
  /// Attempts that the upstream was sent before this one.
  std::uint8_t attempt = 0;
  /// Number at the upstream; 0 while it was not sent.
  std::uint64_t number = 0;
  /// Start of the upstream that the request was sent to.
  std::uint64_t start_identity = 0;
  TimePoint deadline = TimePoint::max();
  /// End of the present state, if it is bounded.
  TimePoint due = TimePoint::max();
  TimePoint sent;
  std::vector<std::uint8_t> body;
  std::unique_ptr<PartSource> response;
  PartWindow window;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_ACTIVEREQUEST_H_
