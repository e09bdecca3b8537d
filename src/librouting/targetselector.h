#ifndef FIREFLYTRESTLE_LIBROUTING_TARGETSELECTOR_H_
#define FIREFLYTRESTLE_LIBROUTING_TARGETSELECTOR_H_

#include <span>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libwire/callermessage.h"

namespace fireflytrestle {

class TargetRecord;
struct ServiceTargets;

/// \brief Target of an OPEN; null if no target is eligible.
struct Selection {
  TargetRecord* target = nullptr;
  /// Target with an overdue answer that gets a copy of the OPEN as a probe, or
  /// null. A copy is sent so that no caller waits for a target that does not
  /// answer.
  TargetRecord* probe = nullptr;
};

/// Selects the target of a new flow: of the two eligible targets of the service
/// with the highest rendezvous weight for \p nonce, the one with the lower
/// load. Targets in \p tried are skipped.
Selection SelectTarget(const ServiceTargets& service,
                       const Nonce& nonce,
                       std::span<const TargetId> tried,
                       TimePoint now);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_TARGETSELECTOR_H_
