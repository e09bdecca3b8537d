#ifndef FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
#define FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_

#include <vector>

#include "libbase/ids.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

/// \brief Between processes that follow the same part of a store: changes that
/// the sender read there, or, without any, a sign of life.
struct SharedChanges {
  /// Random number of the sender's start.
  Incarnation sender{};
  /// The store answers the sender's own reads.
  bool reads_store = false;
  /// \ref items holds all changes after this revision ...
  Revision after{};
  /// ... up to this one.
  Revision as_of{};
  std::vector<StoreItem> items;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
