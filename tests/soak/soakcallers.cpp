#include "soak/soakcallers.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "fakes/packetencoder.h"
#include "libnet/udpsocket.h"
#include "platform/platformpacketcodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstCopy{200};
constexpr milliseconds kTimeout{1000};
constexpr int kMaxTries = 3;
constexpr milliseconds kShortestPause{50};
constexpr milliseconds kPauseAfterFailure{300};
constexpr std::uint64_t kPauseSpreadMs = 300;
constexpr std::uint32_t kFirstPort = 1025;
constexpr std::uint32_t kPorts = 60000;

}  // namespace

SoakCallers::SoakCallers(const std::vector<SocketAddress>& addresses,
                         std::uint64_t seed,
                         Port port)
    : m_random(seed), m_port(std::move(port)) {
  for (const SocketAddress& address : addresses) {
    m_sockets.push_back(boost::leaf::try_handle_all(
        [&] { return UdpSocket::Bind(address); },
        [] { return std::unique_ptr<UdpSocket>(); }));
  }
}

SoakCallers::~SoakCallers() = default;

bool SoakCallers::AreBound() const {
  return std::all_of(m_sockets.begin(), m_sockets.end(),
                     [](const auto& socket) { return socket != nullptr; });
}

void SoakCallers::Start(const Route& route, TimePoint now) {
  Flow flow;
  flow.route = route;
  flow.payload = {++m_last_request, route.service};
  if (!route.feed) {
    flow.payload.request |= SoakPayload::kOrder;
  }
  ++m_counts.requests;
  Open(std::move(flow), now);
}

void SoakCallers::Open(Flow flow, TimePoint now) {
  // A further try does not get more time.
  flow.began = flow.tries == 0 ? now : flow.began;
  ++flow.tries;
  flow.syn_sequence = static_cast<std::uint32_t>(m_random.Next()) | 1U;
  flow.upstream_sequence = 0;
  flow.requests = 0;
  flow.waiting = true;
  flow.copy_after = kFirstCopy;
  flow.next_copy = now;
  const auto& socket = m_sockets[m_random.Below(m_sockets.size())];
  m_last_port = kFirstPort + (m_last_port - kFirstPort + 1) % kPorts;
  const FlowTuple tuple{
      {socket->address().ipv4, static_cast<std::uint16_t>(m_last_port)},
      flow.route.address};
  m_flows[tuple] = flow;
}

void SoakCallers::Fail(const Route& route, TimePoint now) {
  ++m_counts.failed;
  if (route.feed) {
    m_pausing.emplace_back(now + kPauseAfterFailure, route);
  }
}

void SoakCallers::Run(TimePoint now) {
  for (const auto& socket : m_sockets) {
    const UdpSocket::Handler handler =
        [&](const SocketAddress& sender,
            std::span<const std::uint8_t> datagram) {
          if (const auto packet = PlatformPacketCodec().Decode(datagram)) {
            OnPacket(sender, *packet, SoakPayload::Decode(datagram), now);
          }
        };
    while (socket->Receive(handler) == UdpSocket::kBatchDatagrams) {
    }
  }
  std::vector<Route> due;
  std::erase_if(m_pausing, [&](const auto& each) {
    if (now >= each.first) {
      due.push_back(each.second);
    }
    return now >= each.first;
  });
  for (const Route& route : due) {
    Start(route, now);
  }
  for (auto each = m_flows.begin(); each != m_flows.end();) {
    const auto position = each++;
    Flow& flow = position->second;
    if (flow.waiting && now - flow.began > kTimeout) {
      Fail(flow.route, now);
      m_flows.erase(position);
    } else if (now >= flow.next_copy) {
      flow.waiting ? SendCopy(position->first, &flow, now)
                   : Request(position->first, &flow, now);
    }
  }
  for (const auto& socket : m_sockets) {
    socket->Flush();
  }
}

void SoakCallers::Request(const FlowTuple& tuple, Flow* flow, TimePoint now) {
  if (flow->requests > 0) {
    flow->payload.request = ++m_last_request;
    ++m_counts.requests;
    flow->began = now;
    flow->tries = 1;
  }
  ++flow->requests;
  flow->waiting = true;
  flow->copy_after = kFirstCopy;
  SendCopy(tuple, flow, now);
}

void SoakCallers::SendCopy(const FlowTuple& tuple, Flow* flow, TimePoint now) {
  FlowPacket packet;
  if (flow->upstream_sequence == 0) {
    packet.syn = true;
    packet.sequence = flow->syn_sequence;
  } else {
    packet.ack = true;
    packet.sequence =
        flow->syn_sequence + 1 + (flow->requests - 1) * SoakPayload::kBytes;
    packet.acknowledgment = flow->upstream_sequence + 1;
    packet.data_bytes = SoakPayload::kBytes;
  }
  flow->next_copy = now + flow->copy_after;
  flow->copy_after *= 2;
  Send(tuple, packet, *flow);
}

void SoakCallers::OnPacket(const SocketAddress& sender,
                           const FlowPacket& packet,
                           const SoakPayload& payload,
                           TimePoint now) {
  const FlowTuple tuple{packet.destination, packet.source};
  const auto position = m_flows.find(tuple);
  if (position == m_flows.end()) {
    return;
  }
  Flow& flow = position->second;
  if (packet.reset) {
    m_port.on_reset(tuple, sender);
    Flow again = flow;
    m_flows.erase(position);
    // An order whose flow had opened may have run.
    const bool may_repeat = again.route.feed || again.upstream_sequence == 0;
    if (!again.waiting && again.route.feed) {
      m_pausing.emplace_back(now + kShortestPause, again.route);
    } else if (may_repeat && again.tries < kMaxTries) {
      Open(again, now);
    } else {
      Fail(again.route, now);
    }
  } else if (packet.syn) {
    if (flow.upstream_sequence == 0) {
      flow.upstream_sequence = packet.sequence;
      Request(tuple, &flow, now);
    }
  } else if (packet.data_bytes > 0) {
    if (payload.service != flow.route.service ||
        payload.request > flow.payload.request) {
      m_port.on_stray_answer(tuple);
    } else if (flow.waiting && payload == flow.payload) {
      ++m_counts.answered;
      flow.waiting = false;
      flow.next_copy =
          now + kShortestPause + milliseconds(m_random.Below(kPauseSpreadMs));
      if (!flow.route.feed) {
        FlowPacket fin;
        fin.fin = true;
        fin.ack = true;
        fin.sequence = flow.syn_sequence + 1 + SoakPayload::kBytes;
        fin.acknowledgment = flow.upstream_sequence + 1;
        Send(tuple, fin, flow);
        m_flows.erase(position);
      }
    }
  }
}

void SoakCallers::Send(const FlowTuple& tuple,
                       const FlowPacket& packet,
                       const Flow& flow) {
  FlowPacket sent = packet;
  sent.source = tuple.caller;
  sent.destination = tuple.route;
  const std::vector<std::uint8_t> bytes =
      EncodePacket(sent, flow.payload.Encode());
  const auto socket =
      std::find_if(m_sockets.begin(), m_sockets.end(), [&](const auto& each) {
        return each->address().ipv4 == tuple.caller.ipv4;
      });
  if ((*socket)->IsFull()) {
    (*socket)->Flush();
  }
  std::copy(bytes.begin(), bytes.end(), (*socket)->NextBuffer().begin());
  (*socket)->Queue(m_port.route(tuple), bytes.size());
}

}  // namespace fireflytrestle
