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
                        const SocketAddress& face) {
  Side& side = m_sides[face];
  side.process = process;
  side.socket =
      boost::leaf::try_handle_all([&] { return UdpSocket::Bind(face); },
                                  [] { return std::unique_ptr<UdpSocket>(); });
  m_faces[process] = face;
  return side.socket != nullptr;
}

void LoopbackProxy::HealAll() {
  for (auto& [face, side] : m_sides) {
    side.from = {};
    side.to = {};
  }
}

void LoopbackProxy::Run(TimePoint now) {
  for (auto& [face, side] : m_sides) {
    const UdpSocket::Handler handler =
        [&](const SocketAddress& source, std::span<const std::uint8_t> bytes) {
          const auto from = m_faces.find(source);
          if (from != m_faces.end()) {
            Take(&side, from->second, bytes, now);
          }
        };
    while (side.socket->Receive(handler) == UdpSocket::kBatchDatagrams) {
    }
  }
  const auto due = std::stable_partition(
      m_delayed.begin(), m_delayed.end(),
      [&](const Datagram& each) { return each.due > now; });
  std::for_each(due, m_delayed.end(),
                [this](const Datagram& each) { Send(each); });
  m_delayed.erase(due, m_delayed.end());
  for (auto& [face, side] : m_sides) {
    side.socket->Flush();
  }
}

void LoopbackProxy::Take(Side* to,
                         const SocketAddress& from_face,
                         std::span<const std::uint8_t> bytes,
                         TimePoint now) {
  m_observer(from_face);
  const Impairment& out = m_sides[from_face].from;
  const Impairment& in = to->to;
  const std::uint32_t loss = out.loss_permille + in.loss_permille;
  if (out.cut || in.cut || m_random.Below(kPermille) < loss) {
    return;
  }
  Datagram datagram{now + out.delay + in.delay,
                    from_face,
                    to->process,
                    {bytes.begin(), bytes.end()}};
  if (datagram.due > now) {
    m_delayed.push_back(std::move(datagram));
  } else {
    Send(datagram);
  }
}

void LoopbackProxy::Send(const Datagram& datagram) {
  UdpSocket* socket = m_sides[datagram.from_face].socket.get();
  if (socket->IsFull()) {
    socket->Flush();
  }
  std::copy(datagram.bytes.begin(), datagram.bytes.end(),
            socket->NextBuffer().begin());
  socket->Queue(datagram.to_process, datagram.bytes.size());
}

}  // namespace fireflytrestle
