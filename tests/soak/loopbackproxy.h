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

/// \brief UDP proxy between processes that exchange datagrams. Each process is
/// reached by the others at an address of the proxy, so that all datagrams pass
/// through it and can be delayed, dropped or blocked in each direction.
class LoopbackProxy {
 public:
  /// Impairment of the datagrams of one process in one direction.
  struct Impairment {
    bool blocked = false;
    std::uint32_t loss_permille = 0;
    std::chrono::milliseconds delay{0};
  };

  /// Called with the proxy address of the process that sent a datagram.
  using Observer = std::function<void(const SocketAddress& proxy_address)>;

  LoopbackProxy(std::uint64_t seed, Observer observer);
  ~LoopbackProxy();

  /// Adds the process that is bound to \p process; the others reach it at
  /// \p proxy_address. Returns whether that address could be bound.
  bool Add(const SocketAddress& process, const SocketAddress& proxy_address);

  Impairment& from(const SocketAddress& proxy_address) {
    return m_endpoints[proxy_address].from;
  }
  Impairment& to(const SocketAddress& proxy_address) {
    return m_endpoints[proxy_address].to;
  }
  void EndAllFaults();

  /// Forwards datagrams that have arrived and delayed ones that are due.
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
  /// Proxy addresses by the address of the process.
  std::map<SocketAddress, SocketAddress> m_proxy_addresses;
  std::vector<Datagram> m_delayed;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_LOOPBACKPROXY_H_
