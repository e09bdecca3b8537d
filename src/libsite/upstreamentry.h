#ifndef FIREFLYTRESTLE_LIBSITE_UPSTREAMENTRY_H_
#define FIREFLYTRESTLE_LIBSITE_UPSTREAMENTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief An upstream as it has registered itself in the store.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string zone;
  SocketAddress address;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Remaining time of the slow start when the entry was written.
  std::chrono::milliseconds cold_left{0};
  /// Start time that the upstream reports, in Unix milliseconds; 0 if it
  /// reports none. Distinguishes two runs with the same id or address.
  std::uint64_t started_unix_ms = 0;
  /// Revision of the entry in the store.
  Revision revision{};
  /// When this process received the current revision of the entry.
  TimePoint received_at;
  /// Since when the entry has been missing from the store. It may reappear
  /// shortly.
  std::optional<TimePoint> missing_since;

  bool operator==(const UpstreamEntry&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_UPSTREAMENTRY_H_
