#include "soak/loopbackproxy.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kPermille = 1000;

}  // namespace

LoopbackProxy::LoopbackProxy(std::uint64_t seed, Observer observer)
    : m_random(seed), m_observer(std::move(observer)) {}

LoopbackProxy::~LoopbackProxy() = default;

bool LoopbackProxy::Add(const SocketAddress& process,
                        const SocketAddress& proxy_address) {
  Endpoint& endpoint = m_endpoints[proxy_address];
  endpoint.process = process;
  endpoint.socket = boost::leaf::try_handle_all(
      [&] { return UdpSocket::Bind(proxy_address); },
      [] { return std::unique_ptr<UdpSocket>(); });
  m_proxy_addresses[process] = proxy_address;
  return endpoint.socket != nullptr;
}

void LoopbackProxy::EndAllFaults() {
  for (auto& [proxy_address, endpoint] : m_endpoints) {
    endpoint.from = {};
    endpoint.to = {};
  }
}

void LoopbackProxy::Run(TimePoint now) {
  for (auto& [proxy_address, endpoint] : m_endpoints) {
    const UdpSocket::Handler handler =
        [&](const SocketAddress& source, std::span<const std::uint8_t> bytes) {
          const auto from = m_proxy_addresses.find(source);
          if (from != m_proxy_addresses.end()) {
            Forward(&endpoint, from->second, bytes, now);
          }
        };
    while (endpoint.socket->Receive(handler) == UdpSocket::kBatchDatagrams) {
    }
  }
  const auto due = std::stable_partition(
      m_delayed.begin(), m_delayed.end(),
      [&](const Datagram& each) { return each.due > now; });
  std::for_each(due, m_delayed.end(),
                [this](const Datagram& each) { Send(each); });
  m_delayed.erase(due, m_delayed.end());
  for (auto& [proxy_address, endpoint] : m_endpoints) {
    endpoint.socket->Flush();
  }
}

void LoopbackProxy::Forward(Endpoint* to,
                            const SocketAddress& from_proxy_address,
                            std::span<const std::uint8_t> bytes,
                            TimePoint now) {
  m_observer(from_proxy_address);
  const Impairment& out = m_endpoints[from_proxy_address].from;
  const Impairment& in = to->to;
  const std::uint32_t loss = out.loss_permille + in.loss_permille;
  if (out.blocked || in.blocked || m_random.Below(kPermille) < loss) {
    return;
  }
  Datagram datagram{now + out.delay + in.delay,
                    from_proxy_address,
                    to->process,
                    {bytes.begin(), bytes.end()}};
  if (datagram.due > now) {
    m_delayed.push_back(std::move(datagram));
  } else {
    Send(datagram);
  }
}

void LoopbackProxy::Send(const Datagram& datagram) {
  UdpSocket* socket = m_endpoints[datagram.from_proxy_address].socket.get();
  if (socket->IsFull()) {
    socket->Flush();
  }
  std::copy(datagram.bytes.begin(), datagram.bytes.end(),
            socket->NextBuffer().begin());
  socket->Queue(datagram.to_process, datagram.bytes.size());
}

}  // namespace fireflytrestle
