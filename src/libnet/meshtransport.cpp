#include "libnet/meshtransport.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "libbase/errorcode.h"
#include "libbase/fault.h"
#include "libmesh/meshmessagecodec.h"
#include "libnet/frameconnection.h"

namespace fireflytrestle {

MeshTransport::MeshTransport(Callbacks callbacks)
    : m_callbacks(std::move(callbacks)) {
  m_server.setProxy(QNetworkProxy::NoProxy);
  QObject::connect(&m_server, &QTcpServer::newConnection, &m_server,
                   [this] { AcceptPending(); });
}

MeshTransport::~MeshTransport() = default;

boost::leaf::result<void> MeshTransport::Listen(const SocketAddress& address) {
  if (!m_server.listen(QHostAddress(address.ipv4), address.port)) {
    return boost::leaf::new_error(
        ErrorCode::kNetwork,
        Fault{ToString(address),
              "cannot listen on the mesh address: " +
                  m_server.errorString().toStdString(),
              "choose an address of this machine and a free port"});
  }
  return {};
}

void MeshTransport::AcceptPending() {
  while (QTcpSocket* socket = m_server.nextPendingConnection()) {
    if (m_links.size() >= kMaxLinks) {
      socket->abort();
      socket->deleteLater();
      continue;
    }
    const SocketAddress peer{socket->peerAddress().toIPv4Address(),
                             socket->peerPort()};
    // The link id is assigned after the connection has been created, so the
    // callbacks read it through a shared pointer.
    auto link = std::make_shared<LinkId>();
    auto connection = FrameConnection::Adopt(
        socket, {[] {},
                 [this, link](std::span<const std::uint8_t> frame) {
                   return OnFrame(*link, frame);
                 },
                 [this, link] { OnLinkClosed(*link); }});
    *link = m_callbacks.accepted(peer);
    m_links.emplace(*link, std::move(connection));
  }
}

void MeshTransport::Open(LinkId link, const SocketAddress& address) {
  m_links[link] = FrameConnection::Connect(
      address, {[this, link] { m_callbacks.opened(link); },
                [this, link](std::span<const std::uint8_t> frame) {
                  return OnFrame(link, frame);
                },
                [this, link] { OnLinkClosed(link); }});
}

void MeshTransport::Send(LinkId link, const MeshMessage& message) {
  const auto position = m_links.find(link);
  if (position == m_links.end()) {
    return;
  }
  const std::vector<std::uint8_t> body = EncodeMeshMessage(message);
  ++m_traffic.messages_sent;
  m_traffic.bytes_sent += body.size();
  position->second->Send(body);
}

void MeshTransport::Close(LinkId link) {
  if (auto node = m_links.extract(link); !node.empty()) {
    node.mapped()->Close();
  }
}

bool MeshTransport::OnFrame(LinkId link, std::span<const std::uint8_t> frame) {
  ++m_traffic.messages_received;
  m_traffic.bytes_received += frame.size();
  const std::optional<MeshMessage> message = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<MeshMessage>> {
        BOOST_LEAF_AUTO(decoded, DecodeMeshMessage(frame));
        return std::optional<MeshMessage>(std::move(decoded));
      },
      [] { return std::optional<MeshMessage>(); });
  if (!message) {
    ++m_traffic.malformed;
    return false;
  }
  m_callbacks.message(link, *message);
  return true;
}

void MeshTransport::OnLinkClosed(LinkId link) {
  m_links.erase(link);
  m_callbacks.closed(link);
}

}  // namespace fireflytrestle
