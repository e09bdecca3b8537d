#include "soak/soakupstream.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "fakes/packetencoder.h"
#include "libnet/udpsocket.h"
#include "platform/platformpacketcodec.h"

namespace fireflytrestle {

namespace {

constexpr std::size_t kSlots = 3;
constexpr std::size_t kQueueLength = 8;
constexpr std::uint32_t kSequencesPerUpstream = 10'000'000;
constexpr std::uint32_t kSequencesPerFlow = 1000;

}  // namespace

SoakUpstream::SoakUpstream(const SocketAddress& address,
                           const SocketAddress& outbound,
                           std::uint32_t number,
                           Observer observer)
    : m_outbound(outbound),
      m_last_sequence(number * kSequencesPerUpstream),
      m_observer(std::move(observer)),
      m_socket(boost::leaf::try_handle_all(
          [&] { return UdpSocket::Bind(address); },
          [] { return std::unique_ptr<UdpSocket>(); })) {}

SoakUpstream::~SoakUpstream() = default;

void SoakUpstream::Run(TimePoint now) {
  const UdpSocket::Handler handler =
      [&](const SocketAddress&, std::span<const std::uint8_t> datagram) {
        if (const auto packet = PlatformPacketCodec().Decode(datagram);
            packet && !m_down) {
          OnPacket(*packet, SoakPayload::Decode(datagram), now);
        }
      };
  while (m_socket->Receive(handler) == UdpSocket::kBatchDatagrams) {
  }
  ProcessQueue(now);
  m_socket->Flush();
}

bool SoakUpstream::HasOpenFlow(const FlowTuple& tuple) const {
  const auto flow = m_flows.find(tuple);
  return flow != m_flows.end() && flow->second.open;
}

void SoakUpstream::SetDown(bool down) {
  m_down = down;
  Restart();
}

void SoakUpstream::Restart() {
  m_flows.clear();
  m_queue.clear();
  m_running.clear();
}

void SoakUpstream::OnPacket(const FlowPacket& packet,
                            const SoakPayload& payload,
                            TimePoint now) {
  const FlowTuple tuple{packet.source, packet.destination};
  const auto known = m_flows.find(tuple);
  if (packet.IsOpening()) {
    m_observer.on_opening(packet);
    Flow& flow = known != m_flows.end() ? known->second : m_flows[tuple];
    if (flow.sequence == 0) {
      flow.sequence = m_last_sequence += kSequencesPerFlow;
    }
    FlowPacket answer;
    answer.source = packet.destination;
    answer.destination = packet.source;
    answer.syn = true;
    answer.ack = true;
    answer.sequence = flow.sequence;
    answer.acknowledgment = packet.sequence + 1;
    Send(answer);
    return;
  }
  const bool has_flow =
      known != m_flows.end() &&
      packet.acknowledgment - known->second.sequence < kSequencesPerFlow;
  m_observer.on_flow_packet(packet, has_flow);
  if (!has_flow) {
    FlowPacket back = packet;
    back.bounced = true;
    Send(back, payload.Encode());
    return;
  }
  Flow& flow = known->second;
  flow.open = true;
  if (packet.fin || packet.reset) {
    m_flows.erase(known);
    return;
  }
  if (packet.data_bytes == 0) {
    return;
  }
  if (flow.request_sequence == packet.sequence) {
    if (flow.answered) {
      SendAnswer(tuple, flow);
    }
    return;
  }
  if (m_queue.size() >= kQueueLength) {
    return;
  }
  flow.request_sequence = packet.sequence;
  flow.answered = false;
  flow.payload = payload;
  m_queue.emplace_back(tuple, packet.sequence);
  ProcessQueue(now);
}

void SoakUpstream::ProcessQueue(TimePoint now) {
  while (!m_running.empty() && m_running.front().done <= now) {
    const Job job = m_running.front();
    m_running.pop_front();
    const auto flow = m_flows.find(job.tuple);
    if (flow != m_flows.end() &&
        flow->second.request_sequence == job.request_sequence) {
      flow->second.answered = true;
      SendAnswer(job.tuple, flow->second);
    }
  }
  while (!m_queue.empty() && m_running.size() < kSlots) {
    const auto [tuple, sequence] = m_queue.front();
    m_queue.pop_front();
    const auto flow = m_flows.find(tuple);
    if (flow != m_flows.end()) {
      m_observer.on_run(flow->second.payload);
      m_running.push_back({now + m_work, tuple, sequence});
    }
  }
}

void SoakUpstream::SendAnswer(const FlowTuple& tuple, const Flow& flow) {
  FlowPacket answer;
  answer.source = tuple.route;
  answer.destination = tuple.caller;
  answer.ack = true;
  answer.sequence = flow.sequence + 1;
  answer.acknowledgment = *flow.request_sequence + SoakPayload::kBytes;
  answer.data_bytes = SoakPayload::kBytes;
  Send(answer, flow.payload.Encode());
}

void SoakUpstream::Send(const FlowPacket& packet,
                        std::span<const std::uint8_t> data) {
  if (m_socket->IsFull()) {
    m_socket->Flush();
  }
  const std::vector<std::uint8_t> bytes = EncodePacket(packet, data);
  std::copy(bytes.begin(), bytes.end(), m_socket->NextBuffer().begin());
  m_socket->Queue(m_outbound, bytes.size());
}

}  // namespace fireflytrestle
