#ifndef FIREFLYTRESTLE_BALANCER_TRAFFICWORKER_H_
#define FIREFLYTRESTLE_BALANCER_TRAFFICWORKER_H_

#include <QSocketNotifier>
#include <QTimer>
#include <functional>
#include <memory>
#include <span>

#include "balancer/trafficsnapshot.h"
#include "libbase/clock.h"
#include "libnet/udpsocket.h"
#include "librouting/packetrouter.h"

namespace fireflytrestle {

class AgentDirectory;
struct RoutingView;

/// \brief Receives datagrams from the fabric and from agents, and sends them on
/// as its PacketRouter decides. Must be constructed, used and destroyed on one
/// traffic thread.
class TrafficWorker {
 public:
  struct Sockets {
    std::unique_ptr<UdpSocket> frontend;
    std::unique_ptr<UdpSocket> backend;
    SocketAddress fabric;
  };

  /// \p publish receives a snapshot every kPublishInterval.
  TrafficWorker(Sockets sockets,
                FlowIdCodec codec,
                const Clock& clock,
                std::function<void(TrafficSnapshot)> publish);

  void InstallView(std::shared_ptr<const RoutingView> view,
                   std::shared_ptr<const AgentDirectory> agents);
  void SetLease(TimePoint until);

  /// Keeps forwarding and calls \p drained once no datagram has arrived for
  /// kDrainIdleTime.
  void BeginDrain(std::function<void()> drained);

  static constexpr std::chrono::milliseconds kPublishInterval{500};
  static constexpr std::chrono::milliseconds kDrainIdleTime{500};

 private:
  using Handler = void (TrafficWorker::*)(const SocketAddress&,
                                          std::span<const std::uint8_t>);

  void Watch(QSocketNotifier* notifier, UdpSocket* socket, Handler handler);
  /// Handles pending datagrams of \p socket, up to a limit so that a new view
  /// or lease is not delayed.
  void Receive(UdpSocket* socket, const UdpSocket::Handler& handler);
  void OnFabricDatagram(const SocketAddress& source,
                        std::span<const std::uint8_t> datagram);
  void OnAgentDatagram(const SocketAddress& source,
                       std::span<const std::uint8_t> datagram);
  void Forward(const RouteDecision& decision);
  void Return(const RouteDecision& decision, std::optional<ZoneId> zone);
  void Queue(UdpSocket* socket,
             const SocketAddress& destination,
             const Envelope& envelope);
  /// Sends the queued datagrams. Drops them instead if the lease has expired
  /// since the routing decision: the process may have been paused in between.
  void Flush(UdpSocket* socket);
  std::optional<ZoneId> ZoneOf(const SocketAddress& agent) const;
  void Publish();

  Sockets m_sockets;
  PacketRouter m_router;
  const Clock& m_clock;
  std::function<void(TrafficSnapshot)> m_publish;
  std::shared_ptr<const AgentDirectory> m_agents;
  TimePoint m_lease_until{};
  TimePoint m_last_arrival;
  std::uint64_t m_unsent_lease_expired = 0;
  std::map<std::optional<ZoneId>, ZoneTraffic> m_zones;
  QSocketNotifier m_frontend_notifier;
  QSocketNotifier m_backend_notifier;
  QTimer m_publish_timer;
  QTimer m_drain_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_TRAFFICWORKER_H_
