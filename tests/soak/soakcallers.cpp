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

constexpr milliseconds kFirstRetransmitDelay{200};
constexpr milliseconds kRequestTimeout{1000};
constexpr int kMaxAttempts = 3;
constexpr milliseconds kMinPause{50};
constexpr milliseconds kPauseAfterFailure{300};
constexpr std::uint64_t kPauseJitterMs = 300;
/// Flows may be idle for 15 s.
constexpr milliseconds kMinIdleTime{4000};
constexpr std::uint64_t kIdleJitterMs = 9000;
constexpr std::uint32_t kFirstPort = 1025;
constexpr std::uint32_t kPortCount = 60000;

}  // namespace

SoakCallers::SoakCallers(const std::vector<SocketAddress>& addresses,
                         std::uint64_t seed,
                         Callbacks callbacks)
    : m_random(seed), m_callbacks(std::move(callbacks)) {
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
    ++m_counts.orders;
  }
  ++m_counts.requests;
  Open(std::move(flow), now);
}

void SoakCallers::Open(Flow flow, TimePoint now) {
  // A retry does not extend the timeout of the request.
  flow.started_at = flow.attempts == 0 ? now : flow.started_at;
  ++flow.attempts;
  flow.syn_sequence = static_cast<std::uint32_t>(m_random.Next()) | 1U;
  flow.upstream_sequence = 0;
  flow.requests = 0;
  flow.awaits_answer = true;
  flow.retransmit_delay = kFirstRetransmitDelay;
  flow.next_send = now;
  const auto& socket = m_sockets[m_random.Below(m_sockets.size())];
  m_last_port = kFirstPort + (m_last_port - kFirstPort + 1) % kPortCount;
  const FlowTuple tuple{
      {socket->address().ipv4, static_cast<std::uint16_t>(m_last_port)},
      flow.route.address};
  m_flows[tuple] = flow;
}

void SoakCallers::CountFailure(const Route& route, TimePoint now) {
  ++m_counts.failed;
  if (route.feed) {
    m_paused_feeds.emplace_back(now + kPauseAfterFailure, route);
  } else {
    ++m_counts.failed_orders;
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
  std::erase_if(m_paused_feeds, [&](const auto& each) {
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
    if (flow.awaits_answer && now - flow.started_at > kRequestTimeout) {
      CountFailure(flow.route, now);
      m_flows.erase(position);
    } else if (now >= flow.next_send) {
      flow.awaits_answer ? SendOrRetransmit(position->first, &flow, now)
                         : SendNextRequest(position->first, &flow, now);
    }
  }
  for (const auto& socket : m_sockets) {
    socket->Flush();
  }
}

void SoakCallers::SendNextRequest(const FlowTuple& tuple,
                                  Flow* flow,
                                  TimePoint now) {
  if (flow->requests > 0) {
    flow->payload.request = ++m_last_request;
    ++m_counts.requests;
    flow->started_at = now;
    flow->attempts = 1;
  }
  ++flow->requests;
  flow->awaits_answer = true;
  flow->retransmit_delay = kFirstRetransmitDelay;
  SendOrRetransmit(tuple, flow, now);
}

void SoakCallers::SendOrRetransmit(const FlowTuple& tuple,
                                   Flow* flow,
                                   TimePoint now) {
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
  flow->next_send = now + flow->retransmit_delay;
  flow->retransmit_delay *= 2;
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
    m_callbacks.on_reset(tuple, sender);
    Flow again = flow;
    m_flows.erase(position);
    // An order whose flow was open may have run and must not be sent again.
    const bool may_repeat = again.route.feed || again.upstream_sequence == 0;
    if (!again.awaits_answer && again.route.feed) {
      m_paused_feeds.emplace_back(now + kMinPause, again.route);
    } else if (may_repeat && again.attempts < kMaxAttempts) {
      Open(again, now);
    } else {
      CountFailure(again.route, now);
    }
  } else if (packet.syn) {
    if (flow.upstream_sequence == 0) {
      flow.upstream_sequence = packet.sequence;
      SendNextRequest(tuple, &flow, now);
    }
  } else if (packet.data_bytes > 0) {
    if (payload.service != flow.route.service ||
        payload.request > flow.payload.request) {
      m_callbacks.on_mismatched_answer(tuple);
    } else if (flow.awaits_answer && payload == flow.payload) {
      ++m_counts.answered;
      const bool in_time = now - flow.started_at <= kLatencyObjective;
      m_counts.in_time += in_time ? 1 : 0;
      m_counts.orders_in_time += in_time && !flow.route.feed ? 1 : 0;
      flow.awaits_answer = false;
      const bool idle = m_has_idle_feeds && m_random.Below(2) == 0;
      flow.next_send =
          now + (idle ? kMinIdleTime : kMinPause) +
          milliseconds(m_random.Below(idle ? kIdleJitterMs : kPauseJitterMs));
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
  (*socket)->Queue(m_callbacks.route(tuple, sent), bytes.size());
}

}  // namespace fireflytrestle
