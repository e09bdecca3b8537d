#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKEFABRIC_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKEFABRIC_H_

#include <QByteArray>
#include <QUdpSocket>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Forwards each packet of a caller to a random balancer, and packets of
/// balancers to their callers. Delays all packets, reorders some, and
/// duplicates some of the callers' packets.
class FakeFabric : public QObject {
 public:
  /// Balancers send packets for callers to \p tunnel. \p latency is the one-way
  /// delay between callers and balancers.
  FakeFabric(SocketAddress tunnel,
             std::chrono::milliseconds latency,
             std::uint64_t seed);

  /// Listens for callers of \p service at \p address.
  void AddService(ServiceId service, SocketAddress address);

  void SetBalancers(std::vector<SocketAddress> frontends) {
    m_balancers = std::move(frontends);
  }

 private:
  void OnCallerPackets(ServiceId service, QUdpSocket* socket);
  void OnTunnelPackets();
  void SendDelayed(QUdpSocket* socket, QByteArray datagram, SocketAddress to);

  QUdpSocket m_tunnel;
  std::map<ServiceId, std::unique_ptr<QUdpSocket>> m_services;
  std::vector<SocketAddress> m_balancers;
  std::chrono::milliseconds m_latency;
  std::mt19937_64 m_random;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKEFABRIC_H_
