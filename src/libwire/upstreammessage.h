#ifndef FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGE_H_
#define FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGE_H_

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "libbase/requestkind.h"

namespace fireflytrestle {

// Messages between an agent and its upstream. Each frame carries one message as
// a msgpack array.

/// \brief From upstream to agent: the first message on each connection.
struct UpstreamHello {
  /// Random number that the upstream draws at each start; a new value means a
  /// cold start.
  std::uint64_t start_identity = 0;
  bool cold = false;
};

/// \brief From agent to upstream: a request to run.
struct UpstreamRequest {
  /// Identifies this attempt of the request; every attempt gets a new number.
  std::uint64_t number = 0;
  std::uint8_t attempt = 0;
  RequestKind kind = RequestKind::kOrder;
  bool non_idempotent = false;
  /// Time left until the caller's deadline when this message is sent; 0 for a
  /// feed.
  std::chrono::milliseconds deadline{0};
  std::uint32_t resume_after = 0;
  std::vector<std::uint8_t> body;
};

/// \brief From upstream to agent: a part of an answer. Parts are sent in order.
struct UpstreamPart {
  std::uint64_t number = 0;
  std::uint8_t attempt = 0;
  std::vector<std::uint8_t> body;
  bool last = false;
};

/// \brief From upstream to agent: one event of a feed.
struct UpstreamEvent {
  std::uint64_t number = 0;
  std::uint32_t event = 0;
  std::vector<std::uint8_t> body;
};

/// \brief From upstream to agent: the request was shed and did not run.
struct UpstreamShed {
  std::uint64_t number = 0;
};

/// \brief From agent to upstream: cancels a request.
struct UpstreamCancel {
  std::uint64_t number = 0;
};

/// \brief From upstream to agent: response to UpstreamCancel. If \ref started
/// is false, the request will not run.
struct UpstreamCancelled {
  std::uint64_t number = 0;
  bool started = false;
};

/// \brief From agent to upstream: health probe.
struct UpstreamPing {};

/// \brief From upstream to agent: response to UpstreamPing.
struct UpstreamPong {
  std::uint64_t start_identity = 0;
  bool draining = false;
};

using UpstreamMessage = std::variant<UpstreamHello,
                                     UpstreamRequest,
                                     UpstreamPart,
                                     UpstreamEvent,
                                     UpstreamShed,
                                     UpstreamCancel,
                                     UpstreamCancelled,
                                     UpstreamPing,
                                     UpstreamPong>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGE_H_
