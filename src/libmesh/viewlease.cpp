#include "libmesh/viewlease.h"

#include <algorithm>

namespace fireflytrestle {

void ViewLease::Confirm(TimePoint sent_at) {
  m_until = std::max(m_until, sent_at + kViewLeaseDuration);
}

}  // namespace fireflytrestle
