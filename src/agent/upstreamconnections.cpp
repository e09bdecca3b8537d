#include "agent/upstreamconnections.h"

#include <utility>

#include "libnet/frameconnection.h"
#include "libwire/upstreammessagecodec.h"

namespace fireflytrestle {

UpstreamConnections::UpstreamConnections(const SocketAddress& upstream,
                                         Callbacks callbacks)
    : m_upstream(upstream), m_callbacks(std::move(callbacks)) {}

UpstreamConnections::~UpstreamConnections() = default;

void UpstreamConnections::Open(ConnectionId connection) {
  m_connections[connection] = FrameConnection::Connect(
      m_upstream, {[this, connection] { m_callbacks.opened(connection); },
                   [this, connection](std::span<const std::uint8_t> frame) {
                     return OnFrame(connection, frame);
                   },
                   [this, connection] { OnClosed(connection); }});
}

void UpstreamConnections::Send(ConnectionId connection,
                               const UpstreamMessage& message) {
  const auto position = m_connections.find(connection);
  if (position != m_connections.end()) {
    position->second->Send(EncodeUpstreamMessage(message));
  }
}

void UpstreamConnections::Close(ConnectionId connection) {
  if (auto node = m_connections.extract(connection); !node.empty()) {
    node.mapped()->Close();
  }
}

bool UpstreamConnections::OnFrame(ConnectionId connection,
                                  std::span<const std::uint8_t> frame) {
  UpstreamMessage message;
  if (DecodeUpstreamMessage(frame, &message) != WireError::kNone) {
    ++m_malformed;
    return false;
  }
  m_callbacks.message(connection, message);
  return true;
}

void UpstreamConnections::OnClosed(ConnectionId connection) {
  m_connections.erase(connection);
  m_callbacks.closed(connection);
}

}  // namespace fireflytrestle
