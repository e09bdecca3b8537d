#ifndef FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
#define FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

/// \brief Message between processes that follow the same part of a store:
/// changes that the sender has read from the store, or a heartbeat if there are
/// none.
struct SharedChanges {
  /// Key prefix of the part of the store that the message is about.
  std::string prefix;
  /// Identifies the sender's current run; drawn at random when it starts.
  Incarnation sender{};
  /// The sender reads the store itself and has received an answer recently.
  bool reads_store = false;
  /// Time since that answer arrived.
  std::chrono::milliseconds age{0};
  /// \ref items contains all changes after this revision, up to and including
  /// \ref as_of.
  Revision after{};
  Revision as_of{};
  std::vector<StoreItem> items;
  /// Some of the processes from which the sender has received messages
  /// recently, at most kMaxSharedPeers.
  std::vector<SocketAddress> peers;
};

/// A sample that is sent twice per second names each of 60 processes every 4 s.
inline constexpr std::size_t kMaxSharedPeers = 8;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SHAREDCHANGES_H_
