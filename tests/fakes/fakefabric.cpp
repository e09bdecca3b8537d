#include "fakes/fakefabric.h"

#include <QNetworkDatagram>
#include <QTimer>
#include <QVariant>
#include <array>

#include "libwire/callermessage.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kDuplicatePercent = 1;
constexpr std::uint64_t kReorderPercent = 2;
constexpr int kReceiveBufferBytes = 4 << 20;

std::span<const std::uint8_t> Bytes(const QByteArray& data) {
  return {reinterpret_cast<const std::uint8_t*>(data.constData()),
          static_cast<std::size_t>(data.size())};
}

}  // namespace

FakeFabric::FakeFabric(SocketAddress tunnel,
                       std::chrono::milliseconds latency,
                       std::uint64_t seed)
    : m_latency(latency), m_random(seed) {
  m_tunnel.bind(QHostAddress(tunnel.ipv4), tunnel.port);
  m_tunnel.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                           QVariant(kReceiveBufferBytes));
  connect(&m_tunnel, &QUdpSocket::readyRead, this,
          [this] { OnTunnelPackets(); });
}

void FakeFabric::AddService(ServiceId service, SocketAddress address) {
  auto socket = std::make_unique<QUdpSocket>();
  socket->bind(QHostAddress(address.ipv4), address.port);
  socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                          QVariant(kReceiveBufferBytes));
  QUdpSocket* raw = socket.get();
  connect(raw, &QUdpSocket::readyRead, this,
          [this, service, raw] { OnCallerPackets(service, raw); });
  m_services[service] = std::move(socket);
}

void FakeFabric::OnCallerPackets(ServiceId service, QUdpSocket* socket) {
  while (socket->hasPendingDatagrams()) {
    const QNetworkDatagram datagram = socket->receiveDatagram();
    if (m_balancers.empty()) {
      continue;
    }
    const QByteArray data = datagram.data();
    Envelope envelope;
    envelope.caller = {datagram.senderAddress().toIPv4Address(),
                       static_cast<std::uint16_t>(datagram.senderPort())};
    envelope.service = service;
    envelope.payload = Bytes(data);
    std::array<std::uint8_t, kMaxDatagramBytes + kMaxEnvelopeOverheadBytes>
        buffer{};
    const std::size_t size = EncodeEnvelope(envelope, buffer);
    const QByteArray packet(reinterpret_cast<const char*>(buffer.data()),
                            static_cast<qsizetype>(size));
    const int copies = m_random() % 100 < kDuplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      SendDelayed(&m_tunnel, packet,
                  m_balancers[m_random() % m_balancers.size()]);
    }
  }
}

void FakeFabric::OnTunnelPackets() {
  while (m_tunnel.hasPendingDatagrams()) {
    const QByteArray data = m_tunnel.receiveDatagram().data();
    Envelope envelope;
    if (DecodeEnvelope(Bytes(data), &envelope) != WireError::kNone) {
      continue;
    }
    const auto service = m_services.find(envelope.service);
    if (service == m_services.end()) {
      continue;
    }
    const QByteArray payload(
        reinterpret_cast<const char*>(envelope.payload.data()),
        static_cast<qsizetype>(envelope.payload.size()));
    SendDelayed(service->second.get(), payload, envelope.caller);
  }
}

void FakeFabric::SendDelayed(QUdpSocket* socket,
                             QByteArray datagram,
                             SocketAddress to) {
  const bool reordered = m_random() % 100 < kReorderPercent;
  const auto delay = reordered ? 3 * m_latency : m_latency;
  QTimer::singleShot(delay, Qt::PreciseTimer, this,
                     [socket, datagram = std::move(datagram), to] {
                       socket->writeDatagram(datagram, QHostAddress(to.ipv4),
                                             to.port);
                     });
}

}  // namespace fireflytrestle
