#ifndef FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
#define FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_

#include <vector>

#include "libbase/ids.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

/// \brief Message between processes that follow the same part of a store:
/// changes that the sender has read from the store, or a heartbeat if there are
/// none.
struct SharedChanges {
  /// Identifies the sender's current run; drawn at random when it starts.
  Incarnation sender{};
  /// The sender reads the store itself and has received an answer recently.
  bool reads_store = false;
  /// \ref items contains all changes after this revision, up to and including
  /// \ref as_of.
  Revision after{};
  Revision as_of{};
  std::vector<StoreItem> items;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
