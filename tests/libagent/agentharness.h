#ifndef FIREFLYTRESTLE_TESTS_LIBAGENT_AGENTHARNESS_H_
#define FIREFLYTRESTLE_TESTS_LIBAGENT_AGENTHARNESS_H_

#include <cstring>
#include <memory>
#include <optional>

#include "libagent/agentengine.h"
#include "libagent/agentstatistics.h"
#include "libagent/fakeupstream.h"
#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "libconfig/configuration.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// \brief Connects an AgentEngine to a FakeUpstream. The test acts as the
/// callers and balancers.
class AgentHarness {
 public:
  struct Received {
    EnvelopeKind kind{};
    SocketAddress balancer;
    AgentStatus status;
    std::shared_ptr<const Bytes> bytes;
    CallerMessage message;
  };

  explicit AgentHarness(const TargetSettings& target = DefaultTarget())
      : engine(TargetId{5},
               FlowIdCodec({FlowKey{1, {7}}}),
               std::make_unique<SeededRandom>(1),
               clock.Now()) {
    configuration.zones = {{ZoneId{2}, "piassa", "addis", false}};
    configuration.services = {{ServiceId{3}, "counter", {1, 1}, {}}};
    configuration.targets = {target};
    upstream.started = clock.Now();
    Configure();
    Advance(milliseconds(100));
  }

  static TargetSettings DefaultTarget() {
    return {TargetId{5}, ServiceId{3}, ZoneId{2},  {1, 900}, 3, 2000,
            1,           20,           seconds(30)};
  }

  void Configure() {
    configuration.revision = Revision{++m_revision};
    engine.SetConfiguration(configuration, clock.Now(), &actions);
    Apply();
  }
  void SetZoneOut(bool out) {
    configuration.zones[0].out = out;
    Configure();
  }
  void SetNonIdempotent(RequestKind kind) {
    configuration.services[0].request_types = {{"Peg Order", kind, false}};
    Configure();
  }

  /// Advances the clock in steps of 10 ms and calls OnTick() every 50 ms.
  void Advance(Duration duration) {
    for (const TimePoint end = clock.Now() + duration; clock.Now() < end;) {
      clock.Advance(milliseconds(10));
      if (renews_lease) {
        engine.SetLease(clock.Now() + milliseconds(2500));
      }
      for (const auto& [id, message] : upstream.Step(clock.Now())) {
        engine.OnUpstreamMessage(id, message, clock.Now(), &actions);
        Apply();
      }
      for (const ConnectionId id : std::exchange(upstream.closed, {})) {
        engine.OnConnectionClosed(id, clock.Now(), &actions);
        Apply();
      }
      before_tick();
      if (clock.Now() >= m_next_tick) {
        m_next_tick = clock.Now() + milliseconds(50);
        engine.OnTick(clock.Now(), &actions);
        Apply();
      }
    }
  }
  void AdvanceToWarm() { Advance(milliseconds(30500)); }

  static Bytes Encode(const CallerMessage& message) {
    Bytes payload(kMaxDatagramBytes);
    payload.resize(EncodeCallerMessage(message, payload));
    Envelope envelope;
    envelope.kind = EnvelopeKind::kForward;
    envelope.caller = {2, 5000};
    envelope.service = ServiceId{3};
    envelope.payload = payload;
    Bytes out(kMaxDatagramBytes + kMaxEnvelopeOverheadBytes);
    out.resize(EncodeEnvelope(envelope, out));
    return out;
  }
  void SendBytes(const Bytes& datagram, std::uint16_t balancer = 1) {
    engine.OnDatagram({3, balancer}, datagram, clock.Now(), &actions);
    Apply();
  }
  void Send(const CallerMessage& message, std::uint16_t balancer = 1) {
    SendBytes(Encode(message), balancer);
  }
  static Nonce MakeNonce(std::uint64_t number) {
    Nonce nonce{};
    std::memcpy(nonce.data(), &number, sizeof(number));
    return nonce;
  }
  /// Sends an OPEN and returns the token of the flow, or nothing if the agent
  /// did not accept it.
  std::optional<FlowToken> Open(std::uint64_t nonce,
                                std::uint16_t balancer = 1) {
    received.clear();
    Send(OpenMessage{MakeNonce(nonce)}, balancer);
    const auto accepted = Messages<AcceptedMessage>();
    return accepted.empty() ? std::nullopt : std::optional(accepted[0].flow);
  }
  void Request(const FlowToken& flow,
               std::uint32_t sequence,
               const std::string& body,
               RequestKind kind = RequestKind::kOrder,
               bool non_idempotent = false,
               milliseconds budget = seconds(10)) {
    const Bytes bytes = ToBytes(body);
    Send(
        RequestMessage{flow, sequence, kind, non_idempotent, budget, 0, bytes});
  }

  template <typename T>
  std::vector<T> Messages() const {
    std::vector<T> found;
    for (const Received& one : received) {
      if (const auto* message = std::get_if<T>(&one.message)) {
        found.push_back(*message);
      }
    }
    return found;
  }
  /// The connection opened last. The control connection is the first one.
  ConnectionId LastConnection() const { return *upstream.connections.rbegin(); }
  const AgentStatistics& statistics() const { return engine.statistics(); }

  ManualClock clock;
  Configuration configuration;
  FakeUpstream upstream;
  AgentEngine engine;
  std::vector<AgentAction> actions;
  std::vector<Received> received;
  bool renews_lease = true;
  /// Number of connections requested and messages sent to the upstream.
  int upstream_actions = 0;
  std::function<void(const CallerMessage&)> on_received = [](const auto&) {};
  std::function<void()> before_tick = [] {};

 private:
  void Apply() {
    for (const AgentAction& action : std::exchange(actions, {})) {
      if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
        Receive(*datagram);
      } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        upstream.Break(close->connection);
        std::erase(upstream.closed, close->connection);
      } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
        ++upstream_actions;
        upstream.Open(open->connection, clock.Now());
      } else if (const auto* send = std::get_if<SendUpstream>(&action)) {
        ++upstream_actions;
        upstream.Receive(send->connection, send->message, clock.Now());
      }
    }
  }

  void Receive(const SendDatagram& datagram) {
    Received one;
    one.balancer = datagram.balancer;
    one.bytes = std::make_shared<const Bytes>(datagram.datagram);
    Envelope envelope;
    if (DecodeEnvelope(*one.bytes, &envelope) != WireError::kNone ||
        DecodeCallerMessage(envelope.payload, &one.message) !=
            WireError::kNone) {
      std::abort();
    }
    one.kind = envelope.kind;
    one.status = envelope.status.value();
    received.push_back(one);
    on_received(one.message);
  }

  std::uint64_t m_revision = 0;
  TimePoint m_next_tick{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBAGENT_AGENTHARNESS_H_
