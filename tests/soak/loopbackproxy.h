#ifndef FIREFLYTRESTLE_TESTS_SOAK_LOOPBACKPROXY_H_
#define FIREFLYTRESTLE_TESTS_SOAK_LOOPBACKPROXY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "libbase/clock.h"
#include "libbase/seededrandom.h"
#include "libbase/socketaddress.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

/// \brief Stands between processes that exchange datagrams: each process is
/// known to the others by an address of the proxy, its face, so that all they
/// send passes here and can be delayed, lost or cut one way.
class LoopbackProxy {
 public:
  /// What happens to the datagrams of one process in one direction.
  struct Impairment {
    bool blocked = false;
    std::uint32_t loss_permille = 0;
    std::chrono::milliseconds delay{0};
  };

  /// Called with the face of the process that sent a datagram.
  using Observer = std::function<void(const SocketAddress& proxy_address)>;

  LoopbackProxy(std::uint64_t seed, Observer observer);
  ~LoopbackProxy();

  /// Gives the process that is bound to \p process the address \p face.
  /// Returns whether the face could be bound.
  bool Add(const SocketAddress& process, const SocketAddress& proxy_address);

  Impairment& from(const SocketAddress& proxy_address) {
    return m_endpoints[proxy_address].from;
  }
  Impairment& to(const SocketAddress& proxy_address) {
    return m_endpoints[proxy_address].to;
  }
  void EndAllFaults();

  /// Passes on what has arrived and what was delayed until now.
  void Run(TimePoint now);

 private:
  struct Endpoint {
    SocketAddress process;
    std::unique_ptr<UdpSocket> socket;
    Impairment from;
    Impairment to;
  };

  struct Datagram {
    TimePoint due;
    SocketAddress from_proxy_address;
    SocketAddress to_process;
    std::vector<std::uint8_t> bytes;
  };

  void Forward(Endpoint* to,
               const SocketAddress& from_proxy_address,
               std::span<const std::uint8_t> bytes,
               TimePoint now);
  void Send(const Datagram& datagram);

  SeededRandom m_random;
  Observer m_observer;
  std::map<SocketAddress, Endpoint> m_endpoints;
  /// Faces by the address of the process.
  std::map<SocketAddress, SocketAddress> m_proxy_addresses;
  std::vector<Datagram> m_delayed;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_LOOPBACKPROXY_H_
