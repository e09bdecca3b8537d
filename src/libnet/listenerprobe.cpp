#include "libnet/listenerprobe.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <utility>

#include "libbase/socketaddress.h"
#include "libnet/taskqueue.h"

namespace fireflytrestle {

void ListenerProbe::Start(const SocketAddress& address,
                          std::chrono::milliseconds timeout,
                          Handler handler) {
  m_handler = std::move(handler);
  m_socket.setProxy(QNetworkProxy::NoProxy);
  QObject::connect(&m_socket, &QTcpSocket::connected, &m_socket,
                   [this] { Finish(false); });
  QObject::connect(&m_socket, &QTcpSocket::errorOccurred, &m_socket,
                   [this](QAbstractSocket::SocketError error) {
                     Finish(error == QAbstractSocket::ConnectionRefusedError);
                   });
  m_socket.connectToHost(QHostAddress(address.ipv4), address.port);
  CallAfter(&m_socket, timeout, [this] { Finish(false); });
}

void ListenerProbe::Finish(bool refused) {
  if (!m_handler) {
    return;
  }
  const Handler handler = std::exchange(m_handler, nullptr);
  m_socket.abort();
  handler(refused);
}

}  // namespace fireflytrestle
