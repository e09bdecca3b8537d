#include "fakes/flowclient.h"

#include <QNetworkDatagram>
#include <QRandomGenerator>
#include <algorithm>
#include <array>

#include "libwire/callermessagecodec.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::milliseconds kRetransmitInterval{200};
constexpr std::chrono::milliseconds kPingInterval{1000};
constexpr std::uint32_t kMissingBits = 32;
/// Byte offset of the zone in a flow token; see section 3.1 of the design page.
constexpr std::size_t kTokenZoneOffset = 2;

}  // namespace

FlowClient::FlowClient(SocketAddress service, Events events)
    : m_events(std::move(events)), m_service(service) {
  for (std::uint8_t& byte : m_nonce) {
    byte = static_cast<std::uint8_t>(QRandomGenerator::global()->bounded(256));
  }
  m_socket.bind(QHostAddress(QHostAddress::LocalHost), 0);
  connect(&m_socket, &QUdpSocket::readyRead, this, [this] { OnPackets(); });
  connect(&m_timer, &QTimer::timeout, this, [this] { OnTimer(); });
  m_since_packet.start();
  m_since_ping.start();
  m_timer.start(kRetransmitInterval);
  Send(OpenMessage{m_nonce});
}

FlowClient::~FlowClient() {
  Close();
}

std::uint32_t FlowClient::SendRequest(RequestKind kind,
                                      bool non_idempotent,
                                      std::chrono::milliseconds budget,
                                      std::uint32_t resume_after,
                                      std::vector<std::uint8_t> body) {
  const std::uint32_t sequence = ++m_last_sequence;
  Pending& pending = m_pending[sequence];
  pending.body = std::move(body);
  pending.request = {*m_token, sequence,     kind,        non_idempotent,
                     budget,   resume_after, pending.body};
  pending.next_part = kind == RequestKind::kFeed ? resume_after + 1 : 0;
  pending.since_start.start();
  Send(pending.request);
  return sequence;
}

void FlowClient::Cancel(std::uint32_t sequence) {
  if (m_pending.erase(sequence) > 0) {
    Send(CancelMessage{*m_token, sequence});
  }
}

void FlowClient::Close() {
  if (m_token) {
    Send(CloseMessage{*m_token});
  }
  m_token.reset();
  m_pending.clear();
  m_timer.stop();
}

bool FlowClient::HasParts(std::uint32_t sequence) const {
  const auto pending = m_pending.find(sequence);
  return pending != m_pending.end() && pending->second.responded;
}

void FlowClient::OnPackets() {
  while (m_socket.hasPendingDatagrams()) {
    const QByteArray data = m_socket.receiveDatagram().data();
    CallerMessage message;
    const std::span bytes(
        reinterpret_cast<const std::uint8_t*>(data.constData()),
        static_cast<std::size_t>(data.size()));
    if (DecodeCallerMessage(bytes, &message) == WireError::kNone) {
      m_since_packet.restart();
      OnMessage(message);
    }
  }
}

void FlowClient::OnMessage(const CallerMessage& message) {
  if (const auto* accepted = std::get_if<AcceptedMessage>(&message)) {
    OnAccepted(*accepted);
  } else if (const auto* open_refused =
                 std::get_if<OpenRefusedMessage>(&message)) {
    if (!m_token && m_timer.isActive() && open_refused->nonce == m_nonce &&
        m_events.open_refused) {
      m_timer.stop();
      m_events.open_refused(open_refused->reason);
    }
  } else if (const auto* part = std::get_if<PartMessage>(&message)) {
    OnPart(*part);
  } else if (const auto* refused = std::get_if<RefusedMessage>(&message)) {
    if (refused->flow == m_token && m_pending.erase(refused->sequence) > 0 &&
        m_events.refused) {
      m_events.refused(refused->sequence, refused->reason);
    }
  } else if (const auto* unknown =
                 std::get_if<OutcomeUnknownMessage>(&message)) {
    if (unknown->flow == m_token && m_pending.erase(unknown->sequence) > 0 &&
        m_events.unknown) {
      m_events.unknown(unknown->sequence);
    }
  } else if (const auto* handover = std::get_if<HandoverMessage>(&message)) {
    if (handover->flow == m_token && m_events.handover) {
      m_events.handover();
    }
  } else if (const auto* reset = std::get_if<ResetMessage>(&message)) {
    if (reset->flow == m_token && m_events.reset) {
      m_events.reset();
    }
  }
}

void FlowClient::OnAccepted(const AcceptedMessage& message) {
  if (message.nonce != m_nonce || message.flow == m_token) {
    return;
  }
  if (m_token || !m_timer.isActive()) {
    Send(CloseMessage{message.flow});
    return;
  }
  m_token = message.flow;
  m_zone = static_cast<ZoneId>(message.flow[kTokenZoneOffset] << 8U |
                               message.flow[kTokenZoneOffset + 1]);
  if (m_events.opened) {
    m_events.opened();
  }
}

void FlowClient::OnPart(const PartMessage& message) {
  const auto found = m_pending.find(message.sequence);
  if (message.flow != m_token) {
    return;
  }
  if (found == m_pending.end()) {
    // The request has ended, usually because the whole answer has arrived;
    // acknowledge all parts, so that the agent stops sending them.
    Send(AckMessage{*m_token, message.sequence, message.attempt, message.count,
                    0});
    return;
  }
  Pending& pending = found->second;
  pending.responded = true;
  if (pending.request.kind == RequestKind::kFeed) {
    OnFeedPart(&pending, message);
  } else {
    OnAnswerPart(&pending, message);
  }
}

void FlowClient::OnFeedPart(Pending* pending, const PartMessage& message) {
  pending->attempt = message.attempt;
  if (message.index >= pending->next_part) {
    pending->parts[message.index] =
        std::string(message.body.begin(), message.body.end());
  }
  const std::uint32_t sequence = message.sequence;
  while (pending->parts.contains(pending->next_part)) {
    const std::uint32_t event = pending->next_part++;
    const std::string body = pending->parts[event];
    pending->parts.erase(event);
    if (m_events.event) {
      m_events.event(event, body);
    }
    if (!m_pending.contains(sequence)) {
      return;
    }
  }
  SendAck(sequence, *pending);
}

void FlowClient::OnAnswerPart(Pending* pending, const PartMessage& message) {
  if (message.attempt < pending->attempt) {
    return;
  }
  if (message.attempt > pending->attempt) {
    pending->attempt = message.attempt;
    pending->parts.clear();
    pending->next_part = 0;
    pending->count = 0;
  }
  // A part that was sent before the agent knew the number of parts can arrive
  // after all others; it must not reset the count to 0.
  pending->count = std::max(pending->count, message.count);
  pending->parts[message.index] =
      std::string(message.body.begin(), message.body.end());
  while (pending->parts.contains(pending->next_part)) {
    ++pending->next_part;
  }
  SendAck(message.sequence, *pending);
  if (pending->count == 0 || pending->next_part < pending->count) {
    return;
  }
  std::string answer;
  for (const auto& [index, body] : pending->parts) {
    answer += body;
  }
  m_pending.erase(message.sequence);
  if (m_events.answered) {
    m_events.answered(message.sequence, answer);
  }
}

void FlowClient::SendAck(std::uint32_t sequence, const Pending& pending) {
  std::uint32_t missing = 0;
  if (!pending.parts.empty()) {
    const std::uint32_t last = pending.parts.rbegin()->first;
    for (std::uint32_t bit = 0;
         bit < kMissingBits && pending.next_part + bit < last; ++bit) {
      missing |=
          pending.parts.contains(pending.next_part + bit) ? 0U : 1U << bit;
    }
  }
  Send(AckMessage{*m_token, sequence, pending.attempt, pending.next_part,
                  missing});
}

void FlowClient::OnTimer() {
  if (!m_token) {
    Send(OpenMessage{m_nonce});
    return;
  }
  for (auto& [sequence, pending] : m_pending) {
    if (!pending.responded) {
      RequestMessage request = pending.request;
      const std::chrono::milliseconds elapsed(pending.since_start.elapsed());
      request.budget =
          std::max(std::chrono::milliseconds(0), request.budget - elapsed);
      Send(request);
    }
  }
  if (m_since_ping.elapsed() >= kPingInterval.count()) {
    m_since_ping.restart();
    Send(PingMessage{*m_token});
  }
}

void FlowClient::Send(const CallerMessage& message) {
  std::array<std::uint8_t, kMaxDatagramBytes> buffer{};
  const std::size_t size = EncodeCallerMessage(message, buffer);
  m_socket.writeDatagram(reinterpret_cast<const char*>(buffer.data()),
                         static_cast<qint64>(size),
                         QHostAddress(m_service.ipv4), m_service.port);
}

}  // namespace fireflytrestle
