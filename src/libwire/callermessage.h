#ifndef FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGE_H_
#define FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

#include "libbase/requestkind.h"
#include "libwire/flowid.h"
#include "libwire/refusalreason.h"

namespace fireflytrestle {

inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kMaxPartBytes = 1000;

/// Random number with which a caller identifies one attempt to open a flow.
using Nonce = std::array<std::uint8_t, 16>;

// Messages of the callers' protocol. In a decoded message, \c body points into
// the datagram.

/// \brief From the caller: opens a flow.
struct OpenMessage {
  Nonce nonce{};
};

/// \brief From the caller: a request on an open flow.
struct RequestMessage {
  FlowToken flow{};
  /// Number of the request within its flow, from 1.
  std::uint32_t sequence = 0;
  RequestKind kind = RequestKind::kOrder;
  bool non_idempotent = false;
  /// Time for which the caller still waits for the answer, counted from when it
  /// sends this message.
  std::chrono::milliseconds budget{0};
  /// For a feed: number of the last event that the caller has received; 0 for a
  /// new feed.
  std::uint32_t resume_after = 0;
  std::span<const std::uint8_t> body;
};

/// \brief From the caller: acknowledges parts of an answer.
struct AckMessage {
  FlowToken flow{};
  std::uint32_t sequence = 0;
  std::uint8_t attempt = 0;
  /// All parts with a lower index have arrived.
  std::uint32_t next_part = 0;
  /// Bit i is set if part next_part + i is missing although a later one has
  /// arrived.
  std::uint32_t missing = 0;
};

/// \brief From the caller: cancels a request.
struct CancelMessage {
  FlowToken flow{};
  std::uint32_t sequence = 0;
};

/// \brief From the caller: checks whether the flow is still open.
struct PingMessage {
  FlowToken flow{};
};

/// \brief From the caller: closes the flow.
struct CloseMessage {
  FlowToken flow{};
};

/// \brief To the caller: the flow is open.
struct AcceptedMessage {
  Nonce nonce{};
  FlowToken flow{};
};

/// \brief To the caller: the flow was not opened.
struct OpenRefusedMessage {
  Nonce nonce{};
  RefusalReason reason = RefusalReason::kOverloaded;
};

/// \brief To the caller: the request has not run and will not run.
struct RefusedMessage {
  FlowToken flow{};
  std::uint32_t sequence = 0;
  RefusalReason reason = RefusalReason::kOverloaded;
};

/// \brief To the caller: the request may or may not have run.
struct OutcomeUnknownMessage {
  FlowToken flow{};
  std::uint32_t sequence = 0;
};

/// \brief To the caller: one event of a feed, or one part of another answer.
struct PartMessage {
  FlowToken flow{};
  std::uint32_t sequence = 0;
  std::uint8_t attempt = 0;
  /// For a feed: the number of the event, from 1. For other answers: the index
  /// of the part, from 0.
  std::uint32_t index = 0;
  /// Number of parts of the whole answer; 0 for a feed or while the number is
  /// not known.
  std::uint32_t count = 0;
  std::span<const std::uint8_t> body;
};

/// \brief To the caller: response to PingMessage.
struct PongMessage {
  FlowToken flow{};
};

/// \brief To the caller: the agent is stopping, its zone is out or its upstream
/// has failed, so the caller should open a new flow.
struct HandoverMessage {
  FlowToken flow{};
};

/// \brief To the caller: the flow does not exist, or has been closed.
struct ResetMessage {
  FlowToken flow{};
};

using CallerMessage = std::variant<OpenMessage,
                                   RequestMessage,
                                   AckMessage,
                                   CancelMessage,
                                   PingMessage,
                                   CloseMessage,
                                   AcceptedMessage,
                                   OpenRefusedMessage,
                                   RefusedMessage,
                                   OutcomeUnknownMessage,
                                   PartMessage,
                                   PongMessage,
                                   HandoverMessage,
                                   ResetMessage>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGE_H_
