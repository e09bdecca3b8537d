#ifndef FIREFLYTRESTLE_LIBAGENT_UPSTREAMCONNECTION_H_
#define FIREFLYTRESTLE_LIBAGENT_UPSTREAMCONNECTION_H_

#include <cstdint>

#include "libagent/agentaction.h"
#include "libagent/livenessmonitor.h"

namespace fireflytrestle {

/// \brief A connection to the upstream; exists from the request to open it.
struct UpstreamConnection {
  ConnectionId id{};
  /// The upstream has sent its hello; requests may be sent only after that.
  bool hello_received = false;
  std::uint64_t start_identity = 0;
  TimePoint requested;
  LivenessMonitor monitor;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_UPSTREAMCONNECTION_H_
