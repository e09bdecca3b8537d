#ifndef FIREFLYTRESTLE_LIBAGENT_AGENTACTION_H_
#define FIREFLYTRESTLE_LIBAGENT_AGENTACTION_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "libbase/socketaddress.h"
#include "libwire/upstreammessage.h"

namespace fireflytrestle {

/// \brief Identifies a connection to the upstream; never reused within a
/// process.
enum class ConnectionId : std::uint64_t {};

// Actions that AgentEngine requests from the code that runs it.

/// \brief Sends an encoded envelope to a balancer.
struct SendDatagram {
  SocketAddress balancer;
  std::vector<std::uint8_t> datagram;
};

/// \brief Connects to the upstream. The result is reported by
/// OnConnectionOpened() or OnConnectionClosed().
struct OpenConnection {
  ConnectionId connection{};
};

struct SendUpstream {
  ConnectionId connection{};
  UpstreamMessage message;
};

struct CloseConnection {
  ConnectionId connection{};
};

using AgentAction =
    std::variant<SendDatagram, OpenConnection, SendUpstream, CloseConnection>;

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_AGENTACTION_H_
