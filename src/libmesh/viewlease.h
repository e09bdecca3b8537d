#ifndef FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_
#define FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_

#include "libbase/clock.h"

namespace fireflytrestle {

inline constexpr std::chrono::milliseconds kViewLeaseDuration{2500};

/// \brief Tells whether this process may still act on its view of the
/// configuration.
///
/// The lease runs from the moment at which a question was sent that another
/// process has answered, so answers that waited in a buffer while this process
/// was paused do not extend it.
class ViewLease {
 public:
  /// Records an answer to a question sent at \p asked.
  void Confirm(TimePoint sent_at);

  bool IsHeld(TimePoint now) const { return now < m_until; }

  /// End of the lease; the clock's epoch before the first confirmation.
  TimePoint until() const { return m_until; }

 private:
  TimePoint m_until{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_VIEWLEASE_H_
