#ifndef FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_
#define FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "libbase/ids.h"

namespace fireflytrestle {

/// \brief One item of the store, or its removal.
struct StoreItem {
  std::string key;
  /// Empty for a removed item.
  std::optional<std::string> value;
  /// Last change of the item.
  Revision revision{};
};

/// \brief Answer of the store to one read.
struct StoreAnswer {
  enum class Outcome {
    kItems,
    /// The history that a watch asked for is no longer kept.
    kHistoryGone,
    /// Refused, not understood, or no answer in time; see \ref problem.
    kFailed,
  };

  Outcome outcome = Outcome::kFailed;
  std::vector<StoreItem> items;
  /// Revision of the store that the answer stands for.
  Revision as_of{};
  /// A list has further pages.
  bool more = false;
  std::string problem;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_STOREANSWER_H_
