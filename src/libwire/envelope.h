#ifndef FIREFLYTRESTLE_LIBWIRE_ENVELOPE_H_
#define FIREFLYTRESTLE_LIBWIRE_ENVELOPE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libwire/agentstatus.h"

namespace fireflytrestle {

/// Maximum number of targets to which one OPEN is forwarded.
inline constexpr std::size_t kMaxOpenAttempts = 3;
/// Maximum size of an envelope without its payload.
inline constexpr std::size_t kMaxEnvelopeOverheadBytes = 96;

/// \brief Direction and purpose of an envelope.
enum class EnvelopeKind : std::uint8_t {
  /// Between fabric and balancer, in both directions.
  kCaller = 1,
  /// From balancer to agent, with a payload from the caller.
  kForward = 2,
  /// From agent to balancer, with a payload for the caller.
  kReturn = 3,
  /// From agent to balancer, with the unchanged payload of an OPEN that the
  /// agent does not accept.
  kBounce = 4,
};

/// \brief A datagram from or to a caller, with the data that the fabric,
/// balancers and agents need to forward it.
struct Envelope {
  EnvelopeKind kind = EnvelopeKind::kCaller;
  SocketAddress caller;
  ServiceId service{};
  /// Set on RETURN and BOUNCE.
  std::optional<AgentStatus> status;
  /// Targets to which an OPEN has been sent so far: the first \ref attempts
  /// entries. Set on FORWARD and BOUNCE.
  std::array<TargetId, kMaxOpenAttempts> tried{};
  std::uint8_t attempts = 0;
  /// In a decoded envelope, points into the datagram.
  std::span<const std::uint8_t> payload;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_ENVELOPE_H_
