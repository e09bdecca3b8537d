#include "flowagent/flowagentworker.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libbase/clock.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
/// Maximum number of batches from one socket before the other one is read.
constexpr int kBatchesPerTurn = 16;

}  // namespace

FlowAgentWorker::FlowAgentWorker(FlowTracker::Settings settings,
                                 const SocketAddress& upstream,
                                 std::unique_ptr<UdpSocket> node,
                                 std::unique_ptr<UdpSocket> outbound,
                                 const PacketCodec& codec,
                                 const Clock& clock,
                                 FlowTelemetry* report,
                                 Gauges* gauges)
    : m_node(std::move(node)),
      m_outbound(std::move(outbound)),
      m_clock(clock),
      m_gauges(gauges),
      m_output(m_node.get(),
               m_outbound.get(),
               {m_node->address().port, upstream},
               codec,
               report),
      m_tracker(std::move(settings), codec, &m_output, clock.Now()),
      m_node_notifier(m_node->descriptor(), QSocketNotifier::Read),
      m_outbound_notifier(m_outbound->descriptor(), QSocketNotifier::Read) {
  QObject::connect(&m_node_notifier, &QSocketNotifier::activated,
                   &m_node_notifier, [this] { OnNodeReadable(); });
  QObject::connect(&m_outbound_notifier, &QSocketNotifier::activated,
                   &m_outbound_notifier, [this] { OnOutboundReadable(); });
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { Tick(); });
  m_timer.setTimerType(Qt::PreciseTimer);
  m_timer.start(kTickInterval);
}

void FlowAgentWorker::BeginStop() {
  m_tracker.BeginStop(m_clock.Now());
  m_output.Flush();
}

void FlowAgentWorker::OnUpstreamAbsent() {
  m_tracker.OnUpstreamAbsent();
}

void FlowAgentWorker::OnUpstreamDown() {
  m_tracker.OnUpstreamDown(m_clock.Now());
  m_output.Flush();
}

void FlowAgentWorker::OnUpstreamUp() {
  m_tracker.OnUpstreamUp(m_clock.Now());
  m_output.Flush();
}

void FlowAgentWorker::OnNodeReadable() {
  const TimePoint now = m_clock.Now();
  const UdpSocket::Handler handler =
      [&](const SocketAddress& source, std::span<const std::uint8_t> datagram) {
        if (const auto message = DecodeNodeMessage(datagram)) {
          m_tracker.OnNodeMessage(source, *message, now);
        } else {
          m_output.ReportUnreadable(source);
        }
      };
  std::size_t received = UdpSocket::kBatchDatagrams;
  for (int i = 0; i < kBatchesPerTurn && received == UdpSocket::kBatchDatagrams;
       ++i) {
    received = m_node->Receive(handler);
    m_gauges->node_messages += received;
    m_output.Flush();
  }
}

void FlowAgentWorker::OnOutboundReadable() {
  const TimePoint now = m_clock.Now();
  const UdpSocket::Handler handler =
      [&](const SocketAddress& /*source*/,
          std::span<const std::uint8_t> datagram) {
        // Works on a copy, because a packet that the upstream returned is
        // modified in place.
        std::array<std::uint8_t, UdpSocket::kMaxBytes> copy;
        std::copy(datagram.begin(), datagram.end(), copy.begin());
        m_tracker.OnUpstreamPacket(std::span(copy.data(), datagram.size()),
                                   now);
      };
  std::size_t received = UdpSocket::kBatchDatagrams;
  for (int i = 0; i < kBatchesPerTurn && received == UdpSocket::kBatchDatagrams;
       ++i) {
    received = m_outbound->Receive(handler);
    m_gauges->upstream_packets += received;
    m_output.Flush();
  }
}

void FlowAgentWorker::Tick() {
  const TimePoint now = m_clock.Now();
  m_tracker.OnTick(now);
  m_output.Flush();
  const UpstreamLoad load = m_tracker.Load(now).value_or(UpstreamLoad{});
  m_gauges->wait_us = load.wait.count();
  m_gauges->work_us = load.work.count();
  m_gauges->flows = m_tracker.flow_count();
  m_gauges->running = m_tracker.running();
  const auto waiting = m_tracker.WaitingByPriority();
  std::copy(waiting.begin(), waiting.end(), m_gauges->waiting.begin());
  m_gauges->phase = m_tracker.phase();
  m_gauges->send_failures =
      m_node->send_failures() + m_outbound->send_failures();
}

}  // namespace fireflytrestle
