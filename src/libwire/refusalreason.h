#ifndef FIREFLYTRESTLE_LIBWIRE_REFUSALREASON_H_
#define FIREFLYTRESTLE_LIBWIRE_REFUSALREASON_H_

#include <cstdint>

namespace fireflytrestle {

/// \brief Why a flow or request was refused. The request has not run in any of
/// these cases.
enum class RefusalReason : std::uint8_t {
  kOverloaded = 1,
  kCold = 2,
  kDraining = 3,
  kZoneOut = 4,
  kDeadline = 5,
  kCancelled = 6,
  kNoTarget = 7,
  kRetryBudget = 8,
  kUpstreamUnavailable = 9,
  kInvalid = 10,
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_REFUSALREASON_H_
