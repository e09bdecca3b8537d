#ifndef FIREFLYTRESTLE_LIBROUTING_DROPREASON_H_
#define FIREFLYTRESTLE_LIBROUTING_DROPREASON_H_

#include <cstddef>
#include <cstdint>

namespace fireflytrestle {

/// \brief Why a balancer dropped a datagram.
enum class DropReason : std::uint8_t {
  kMalformed,
  kUnknownService,
  kInvalidFlowToken,
  kWrongService,
  kZoneOut,
  kViewNotConfirmed,
  kUnexpectedKind,
  /// BOUNCE of a copy of an OPEN that was sent as a probe. The OPEN itself was
  /// sent to another target, so nothing is returned to the caller.
  kProbeBounced,
  kCount,
};

inline constexpr std::size_t kDropReasonCount =
    static_cast<std::size_t>(DropReason::kCount);

/// Returns the label of the reason in metrics and logs, such as
/// "wrong_service".
const char* ToString(DropReason reason);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_DROPREASON_H_
