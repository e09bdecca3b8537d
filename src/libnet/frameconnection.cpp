#include "libnet/frameconnection.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>
#include <utility>

#include "libnet/taskqueue.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::seconds kConnectTimeout{2};
constexpr std::chrono::seconds kFlushTimeout{1};

}  // namespace

FrameConnection::FrameConnection(QTcpSocket* socket,
                                 SocketAddress peer,
                                 Callbacks callbacks)
    : m_socket(socket), m_peer(peer), m_callbacks(std::move(callbacks)) {}

FrameConnection::~FrameConnection() {
  Close();
}

std::shared_ptr<FrameConnection> FrameConnection::Connect(
    const SocketAddress& address,
    Callbacks callbacks) {
  auto* socket = new QTcpSocket();
  socket->setProxy(QNetworkProxy::NoProxy);
  std::shared_ptr<FrameConnection> connection(
      new FrameConnection(socket, address, std::move(callbacks)));
  connection->ConnectSignals();
  QObject::connect(socket, &QTcpSocket::connected, socket,
                   connection->WeakCallback(&FrameConnection::OnConnected));
  CallAfter(socket, kConnectTimeout,
            connection->WeakCallback(&FrameConnection::CheckConnected));
  socket->connectToHost(QHostAddress(address.ipv4), address.port);
  return connection;
}

std::shared_ptr<FrameConnection> FrameConnection::Adopt(QTcpSocket* socket,
                                                        Callbacks callbacks) {
  const SocketAddress peer{socket->peerAddress().toIPv4Address(),
                           socket->peerPort()};
  socket->setParent(nullptr);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  std::shared_ptr<FrameConnection> connection(
      new FrameConnection(socket, peer, std::move(callbacks)));
  connection->ConnectSignals();
  // readyRead is not emitted again for bytes that arrived before the signals
  // were connected, so they are read here.
  CallAfter(socket, {}, connection->WeakCallback(&FrameConnection::Read));
  return connection;
}

std::function<void()> FrameConnection::WeakCallback(
    void (FrameConnection::*method)()) {
  return [weak = weak_from_this(), method] {
    if (const auto self = weak.lock()) {
      ((*self).*method)();
    }
  };
}

void FrameConnection::ConnectSignals() {
  QObject::connect(m_socket, &QTcpSocket::readyRead, m_socket,
                   WeakCallback(&FrameConnection::Read));
  // Queued connections, so that Callbacks::closed never runs within a call that
  // the owner makes, such as Send().
  QObject::connect(m_socket, &QTcpSocket::disconnected, m_socket,
                   WeakCallback(&FrameConnection::CloseAndNotify),
                   Qt::QueuedConnection);
  QObject::connect(m_socket, &QTcpSocket::errorOccurred, m_socket,
                   WeakCallback(&FrameConnection::CloseAndNotify),
                   Qt::QueuedConnection);
}

void FrameConnection::OnConnected() {
  if (m_socket != nullptr) {
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_callbacks.opened();
  }
}

void FrameConnection::CheckConnected() {
  if (m_socket != nullptr &&
      m_socket->state() != QAbstractSocket::ConnectedState) {
    CloseAndNotify();
  }
}

void FrameConnection::Read() {
  const auto self = shared_from_this();
  while (m_socket != nullptr && m_socket->bytesAvailable() > 0) {
    const QByteArray bytes = m_socket->readAll();
    m_reader.Append({reinterpret_cast<const std::uint8_t*>(bytes.constData()),
                     static_cast<std::size_t>(bytes.size())});
    while (const auto frame = m_reader.Next()) {
      const bool valid = m_callbacks.frame(*frame);
      if (m_socket == nullptr) {
        return;
      }
      if (!valid) {
        CloseAndNotify();
        return;
      }
    }
    if (m_reader.error() != WireError::kNone) {
      CloseAndNotify();
      return;
    }
  }
}

void FrameConnection::Send(std::span<const std::uint8_t> body) {
  if (m_socket == nullptr) {
    return;
  }
  const std::vector<std::uint8_t> frame = EncodeFrame(body);
  m_socket->write(reinterpret_cast<const char*>(frame.data()),
                  static_cast<qint64>(frame.size()));
  if (m_socket->bytesToWrite() > kMaxUnsentBytes) {
    CallAfter(m_socket, {}, WeakCallback(&FrameConnection::CloseAndNotify));
  }
}

void FrameConnection::CloseAndNotify() {
  if (m_socket == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  Close();
  m_callbacks.closed();
}

void FrameConnection::Close() {
  if (m_socket == nullptr) {
    return;
  }
  QTcpSocket* socket = std::exchange(m_socket, nullptr);
  socket->disconnect();
  if (socket->state() != QAbstractSocket::ConnectedState ||
      socket->bytesToWrite() == 0) {
    socket->abort();
    socket->deleteLater();
    return;
  }
  QObject::connect(socket, &QTcpSocket::disconnected, socket,
                   &QObject::deleteLater);
  CallAfter(socket, kFlushTimeout, [socket] { socket->deleteLater(); });
  socket->disconnectFromHost();
}

}  // namespace fireflytrestle
