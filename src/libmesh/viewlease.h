#ifndef FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_
#define FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_

#include "libbase/clock.h"

namespace fireflytrestle {

inline constexpr std::chrono::milliseconds kViewLeaseDuration{2500};

/// \brief Lease during which this process may act on its view of the
/// configuration.
///
/// The lease starts when a request is sent that is answered later, not when the
/// answer arrives. Answers that waited in a buffer while this process was
/// paused therefore do not extend it.
class ViewLease {
 public:
  /// Records an answer to a request sent at \p sent_at.
  void Confirm(TimePoint sent_at);

  bool IsHeld(TimePoint now) const { return now < m_until; }

  /// End of the lease; the clock's epoch before the first confirmation.
  TimePoint until() const { return m_until; }

 private:
  TimePoint m_until{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_
