#include "agent/agentworker.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libbase/seededrandom.h"
#include "libconfig/configuration.h"
#include "libnet/systemrandom.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

namespace {

// Less than half of the longest interval that AgentEngine permits between calls
// of OnTick().
constexpr std::chrono::milliseconds kTickInterval{20};
// 512 datagrams. Limits how long the processing of upstream connections and
// lease updates is delayed.
constexpr int kMaxBatchesPerWakeup = 16;

void CountPayload(std::span<const std::uint8_t> datagram,
                  CallerMessageCounters* counters) {
  Envelope envelope;
  if (DecodeEnvelope(datagram, &envelope) == WireError::kNone) {
    counters->Count(envelope.payload);
  }
}

}  // namespace

AgentWorker::AgentWorker(const AgentSettings& settings,
                         std::unique_ptr<UdpSocket> socket,
                         const Clock& clock,
                         std::function<void(const AgentSnapshot&)> publish)
    : m_socket(std::move(socket)),
      m_clock(clock),
      m_publish(std::move(publish)),
      m_stop_timeout(settings.stop_timeout),
      m_engine(settings.target_id,
               FlowIdCodec(settings.process.flow_keys),
               std::make_unique<SeededRandom>(DrawSeed()),
               clock.Now()),
      m_connections(
          settings.upstream_address,
          {[this](ConnectionId connection) {
             RunEngine([&](TimePoint now, Actions* actions) {
               m_engine.OnConnectionOpened(connection, now, actions);
             });
           },
           [this](ConnectionId connection) {
             RunEngine([&](TimePoint now, Actions* actions) {
               m_engine.OnConnectionClosed(connection, now, actions);
             });
           },
           [this](ConnectionId connection, const UpstreamMessage& message) {
             RunEngine([&](TimePoint now, Actions* actions) {
               m_engine.OnUpstreamMessage(connection, message, now, actions);
             });
           }}),
      m_actions([this](const AgentAction& action) {
        std::visit([this](const auto& each) { Execute(each); }, action);
      }),
      m_datagram_handler([this](const SocketAddress& balancer,
                                std::span<const std::uint8_t> datagram) {
        OnDatagram(balancer, datagram);
      }),
      m_notifier(m_socket->descriptor(), QSocketNotifier::Read) {
  QObject::connect(&m_notifier, &QSocketNotifier::activated, &m_notifier,
                   [this] { Receive(); });
  QObject::connect(&m_tick_timer, &QTimer::timeout, &m_tick_timer,
                   [this] { OnTick(); });
  QObject::connect(&m_publish_timer, &QTimer::timeout, &m_publish_timer,
                   [this] { Publish(); });
  m_tick_timer.setTimerType(Qt::PreciseTimer);
  m_tick_timer.start(kTickInterval);
  m_publish_timer.start(kPublishInterval);
}

template <typename Call>
void AgentWorker::RunEngine(Call call) {
  m_actions.Run([&](Actions* actions) { call(m_clock.Now(), actions); });
  Flush();
}

void AgentWorker::SetConfiguration(const Configuration& configuration) {
  RunEngine([&](TimePoint now, Actions* actions) {
    m_engine.SetConfiguration(configuration, now, actions);
  });
}

void AgentWorker::SetLeaving(bool leaving) {
  RunEngine([&](TimePoint now, Actions* actions) {
    m_engine.SetLeaving(leaving, now, actions);
  });
}

void AgentWorker::SetLease(TimePoint until) {
  m_lease_until = until;
  m_engine.SetLease(until);
}

void AgentWorker::BeginStop(std::function<void()> stopped) {
  m_stopped = std::move(stopped);
  m_stop_deadline = m_clock.Now() + m_stop_timeout;
  RunEngine([&](TimePoint now, Actions* actions) {
    m_engine.BeginStop(now, actions);
  });
}

void AgentWorker::Execute(const SendDatagram& action) {
  if (m_socket->IsFull()) {
    Flush();
  }
  const std::span<std::uint8_t> buffer = m_socket->NextBuffer();
  if (action.datagram.size() > buffer.size()) {
    ++m_snapshot.oversized;
    return;
  }
  std::copy(action.datagram.begin(), action.datagram.end(), buffer.begin());
  m_socket->Queue(action.balancer, action.datagram.size());
  CountPayload(action.datagram, &m_snapshot.sent);
}

void AgentWorker::Execute(const OpenConnection& action) {
  m_connections.Open(action.connection);
}

void AgentWorker::Execute(const SendUpstream& action) {
  m_connections.Send(action.connection, action.message);
}

void AgentWorker::Execute(const CloseConnection& action) {
  m_connections.Close(action.connection);
}

void AgentWorker::Receive() {
  for (int i = 0; i < kMaxBatchesPerWakeup; ++i) {
    const std::size_t received = m_socket->Receive(m_datagram_handler);
    Flush();
    if (received < UdpSocket::kBatchDatagrams) {
      return;
    }
  }
}

void AgentWorker::OnDatagram(const SocketAddress& balancer,
                             std::span<const std::uint8_t> datagram) {
  CountPayload(datagram, &m_snapshot.received);
  m_actions.Run([&](Actions* actions) {
    m_engine.OnDatagram(balancer, datagram, m_clock.Now(), actions);
  });
}

void AgentWorker::OnTick() {
  RunEngine(
      [&](TimePoint now, Actions* actions) { m_engine.OnTick(now, actions); });
  const TimePoint now = m_clock.Now();
  if (m_stop_deadline && (now >= *m_stop_deadline || m_engine.IsStopped(now))) {
    m_stop_deadline.reset();
    m_stopped();
  }
}

void AgentWorker::Flush() {
  if (m_socket->queued() == 0) {
    return;
  }
  if (m_clock.Now() >= m_lease_until) {
    m_snapshot.unsent_lease_expired += m_socket->DiscardQueued();
    return;
  }
  m_socket->Flush();
}

void AgentWorker::Publish() {
  AgentSnapshot snapshot = m_snapshot;
  snapshot.statistics = m_engine.statistics();
  snapshot.upstream_connections = m_connections.count();
  snapshot.upstream_malformed = m_connections.malformed();
  snapshot.send_failures = m_socket->send_failures();
  snapshot.oversized += m_socket->oversized();
  m_publish(snapshot);
}

}  // namespace fireflytrestle
