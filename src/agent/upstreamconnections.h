#ifndef FIREFLYTRESTLE_AGENT_UPSTREAMCONNECTIONS_H_
#define FIREFLYTRESTLE_AGENT_UPSTREAMCONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>

#include "libagent/agentaction.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

class FrameConnection;

/// \brief The TCP connections of an agent to its upstream.
class UpstreamConnections {
 public:
  struct Callbacks {
    std::function<void(ConnectionId)> opened;
    std::function<void(ConnectionId)> closed;
    std::function<void(ConnectionId, const UpstreamMessage&)> message;
  };

  UpstreamConnections(const SocketAddress& upstream, Callbacks callbacks);
  ~UpstreamConnections();

  void Open(ConnectionId connection);
  void Send(ConnectionId connection, const UpstreamMessage& message);
  void Close(ConnectionId connection);

  std::size_t count() const { return m_connections.size(); }

  /// Number of frames that could not be decoded; each of them closed its
  /// connection.
  std::uint64_t malformed() const { return m_malformed; }

 private:
  bool OnFrame(ConnectionId connection, std::span<const std::uint8_t> frame);
  void OnClosed(ConnectionId connection);

  SocketAddress m_upstream;
  Callbacks m_callbacks;
  std::unordered_map<ConnectionId, std::shared_ptr<FrameConnection>>
      m_connections;
  std::uint64_t m_malformed = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_UPSTREAMCONNECTIONS_H_
