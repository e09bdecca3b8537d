#ifndef FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_
#define FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "libbase/ids.h"

namespace fireflytrestle {

/// \brief One item of the store, or the removal of an item.
struct StoreItem {
  std::string key;
  /// Empty for a removed item.
  std::optional<std::string> value;
  /// Revision at which the item was last changed.
  Revision revision{};
};

/// \brief Answer of the store to one read.
struct StoreAnswer {
  enum class Outcome {
    kItems,
    /// The store no longer keeps the changes after the revision of the watch.
    kHistoryGone,
    /// The changes after the revision of the watch take more than the client
    /// reads in one answer; the items themselves may take less.
    kTooLarge,
    /// The read was refused, timed out or got a malformed answer; see \ref
    /// problem.
    kFailed,
  };

  Outcome outcome = Outcome::kFailed;
  std::vector<StoreItem> items;
  /// Revision of the store up to which the answer is complete.
  Revision as_of{};
  /// The listing has further pages.
  bool more = false;
  /// Reason of the failure. Also set for kItems if some items were malformed
  /// and left out.
  std::string problem;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_
