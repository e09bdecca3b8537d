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

/// \brief What an upstream has registered of itself.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string zone;
  SocketAddress address;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Rest of its slow start when the entry was written.
  std::chrono::milliseconds cold_left{0};
  /// Wall-clock start of the upstream as it states it, in Unix milliseconds; 0
  /// if it states none. Tells two lifetimes with the same id or address apart.
  std::uint64_t started_unix_ms = 0;
  /// Revision of the entry in the store.
  Revision revision{};
  /// When this process learned of the entry in this form.
  TimePoint received_at;
  /// The entry is gone from the store, but may come back shortly.
  std::optional<TimePoint> missing_since;

  bool operator==(const UpstreamEntry&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_UPSTREAMENTRY_H_
