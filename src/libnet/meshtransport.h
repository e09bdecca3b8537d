#ifndef FIREFLYTRESTLE_LIBNET_MESHTRANSPORT_H_
#define FIREFLYTRESTLE_LIBNET_MESHTRANSPORT_H_

#include <QTcpServer>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>

#include "libbase/socketaddress.h"
#include "libmesh/meshaction.h"

namespace fireflytrestle {

class FrameConnection;

/// \brief The TCP links of a MeshNode. Each frame carries one mesh message.
class MeshTransport {
 public:
  struct Callbacks {
    std::function<void(LinkId)> opened;
    /// Called when another process has opened a link. Returns the id for it.
    std::function<LinkId(const SocketAddress& peer)> accepted;
    std::function<void(LinkId)> closed;
    std::function<void(LinkId, const MeshMessage&)> message;
  };

  struct Traffic {
    std::uint64_t messages_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_sent = 0;
    /// Frames that could not be decoded as a mesh message; each closed its
    /// link.
    std::uint64_t malformed = 0;
  };

  explicit MeshTransport(Callbacks callbacks);
  ~MeshTransport();

  /// Accepts links on \p address. Fails with ErrorCode::kNetwork and a Fault if
  /// the address cannot be bound.
  boost::leaf::result<void> Listen(const SocketAddress& address);

  void Open(LinkId link, const SocketAddress& address);
  void Send(LinkId link, const MeshMessage& message);
  void Close(LinkId link);

  const Traffic& traffic() const { return m_traffic; }
  std::uint16_t port() const { return m_server.serverPort(); }

  /// Bounds the memory that incoming connections can use. A site of the design
  /// size has about 25 links per balancer.
  static constexpr std::size_t kMaxLinks = 512;

 private:
  void AcceptPending();
  bool OnFrame(LinkId link, std::span<const std::uint8_t> frame);
  void OnLinkClosed(LinkId link);

  Callbacks m_callbacks;
  QTcpServer m_server;
  std::map<LinkId, std::shared_ptr<FrameConnection>> m_links;
  Traffic m_traffic;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_MESHTRANSPORT_H_
