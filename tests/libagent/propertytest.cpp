#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libagent/agentharness.h"

namespace fireflytrestle {
namespace {

/// \brief Simulates callers that retransmit, acknowledge and record every
/// outcome, with an agent and an upstream that are subject to random faults.
class FaultSimulation {
 public:
  FaultSimulation() : harness(Target()), upstream(harness.upstream) {
    harness.SetNonIdempotent(RequestKind::kDocument);
    harness.on_received = [this](const auto& message) { OnReceived(message); };
    harness.before_tick = [this] { BeforeTick(); };
    // Long enough that most faults occur while a request is running.
    upstream.service_time = milliseconds(400);
    upstream.on_run = [this] { CheckLoad(); };
  }

  void Perform(int operation, std::uint32_t pick) {
    auto connection = upstream.connections.begin();
    if (!upstream.connections.empty()) {
      std::advance(connection, pick % upstream.connections.size());
    } else if (operation >= 7 && operation <= 9) {
      return;
    }
    switch (operation) {
      case 0:
        return harness.Send(OpenMessage{AgentHarness::MakeNonce(++nonces)});
      case 1:
      case 2:
      case 3:
        return flows.empty() ? void()
                             : SendNewRequest(flows[pick % flows.size()], pick);
      case 4:
      case 5:
        return sent.empty() ? void()
                            : SendLater(milliseconds(pick * 7919 % 120000),
                                        sent[pick % sent.size()]);
      case 6:
        return requests.empty() ? void() : Cancel(pick % requests.size());
      case 7:
        return upstream.Break(*connection);
      case 8:
        upstream.silent.insert(*connection);
        return;
      case 9:
        upstream.stalled.insert(*connection);
        return;
      case 10:
        return upstream.Restart(harness.clock.Now());
      case 11:
        upstream.shed_next = 1;
        return;
      case 12:  // A pause of the process.
        return harness.clock.Advance(milliseconds(2500 + pick));
      case 13:
        return ZoneOutAndIn();
      case 14:
        upstream.last_event += pick % 200;
        return;
      case 15:
        return flows.empty() ? void() : Close(flows[pick % flows.size()]);
      case 16:
        upstream.draining = !upstream.draining;
        return;
      case 17:
        upstream.silent = upstream.connections;
        return;
      default:
        harness.Advance(milliseconds(10 + pick % 800));
    }
  }

  /// Ends all faults, waits until all delayed packets have arrived and checks
  /// the outcomes.
  void CheckOutcomes() {
    upstream.draining = false;
    upstream.shed_next = 0;
    harness.Advance(seconds(150));
    for (const auto& [key, request] : requests) {
      const int runs = upstream.runs[request.body];
      RC_ASSERT(!request.refused || (runs == 0 && !request.answered));
      RC_ASSERT(!(request.is_feed() && request.unknown));
      RC_ASSERT(!request.is_non_idempotent() || runs <= 1);
      if (!IsOpen(key.first) || (request.is_feed() && request.cancelled)) {
        continue;
      }
      RC_ASSERT(request.refused || request.unknown || request.answered ||
                (request.is_feed() && request.next == upstream.last_event + 1));
    }
    RC_ASSERT(harness.statistics().running_requests == 0U);
    RC_ASSERT(harness.statistics().queued_requests == 0U);
  }

 private:
  struct Request {
    bool is_feed() const { return message.kind == RequestKind::kFeed; }
    bool is_non_idempotent() const {
      return message.non_idempotent || message.kind == RequestKind::kDocument;
    }

    std::string body;
    RequestMessage message;
    bool refused = false;
    bool unknown = false;
    bool cancelled = false;
    bool answered = false;
    std::map<std::uint8_t, std::map<std::uint32_t, Bytes>> parts;
    std::uint32_t next = 1;
  };

  static TargetSettings Target() {
    TargetSettings target = AgentHarness::DefaultTarget();
    target.cold_flows_per_second = 3;
    target.warmup = seconds(4);
    return target;
  }
  bool IsOpen(const FlowToken& flow) const {
    return std::find(flows.begin(), flows.end(), flow) != flows.end();
  }
  void SendLater(Duration delay, const Bytes& datagram) {
    delayed.emplace(harness.clock.Now() + delay, datagram);
  }
  void Cancel(std::size_t place) {
    auto& [key, request] = *std::next(requests.begin(), long(place));
    request.cancelled = true;
    harness.Send(CancelMessage{key.first, key.second});
  }
  void Close(FlowToken flow) {
    harness.Send(CloseMessage{flow});
    std::erase(flows, flow);
  }

  void SendNewRequest(const FlowToken& flow, std::uint32_t pick) {
    const std::uint32_t sequence = ++sequences[flow];
    Request& request = requests[{flow, sequence}];
    request.body = "request " + std::to_string(++bodies);
    const auto kind = RequestKind{static_cast<std::uint8_t>(1 + pick / 7 % 3)};
    const bool flag = pick % 2 == 0 && kind != RequestKind::kFeed;
    const milliseconds budget(200 + pick * 13 % 9000);
    request.message = {flow, sequence, kind, flag, budget, 0, {}};
    Resend(request);
  }

  void Resend(const Request& request) {
    RequestMessage message = request.message;
    const Bytes body = ToBytes(request.body);
    message.body = body;
    sent.push_back(AgentHarness::Encode(message));
    const auto balancer = static_cast<std::uint16_t>(1 + sent.size() % 5);
    harness.SendBytes(sent.back(), balancer);
  }

  void BeforeTick() {
    const TimePoint now = harness.clock.Now();
    while (!delayed.empty() && delayed.begin()->first <= now) {
      harness.SendBytes(delayed.extract(delayed.begin()).mapped());
    }
    if (now < next_round) {
      return;
    }
    next_round = now + milliseconds(500);
    for (const FlowToken& flow : std::vector(flows)) {
      harness.Send(PingMessage{flow});
    }
    for (const auto& [key, request] : requests) {
      if (IsOpen(key.first) && !request.refused && !request.unknown &&
          !request.answered && request.next == 1) {
        Resend(request);
      }
    }
  }

  void OnReceived(const CallerMessage& message) {
    if (const auto* accepted = std::get_if<AcceptedMessage>(&message)) {
      flows.push_back(accepted->flow);
    } else if (const auto* reset = std::get_if<ResetMessage>(&message)) {
      std::erase(flows, FlowToken(reset->flow));
    } else if (const auto* refused = std::get_if<RefusedMessage>(&message)) {
      requests[{refused->flow, refused->sequence}].refused = true;
    } else if (const auto* m = std::get_if<OutcomeUnknownMessage>(&message)) {
      requests[{m->flow, m->sequence}].unknown = true;
    } else if (const auto* part = std::get_if<PartMessage>(&message)) {
      OnPart(*part, &requests[{part->flow, part->sequence}]);
    }
  }

  void OnPart(const PartMessage& part, Request* request) {
    auto& parts = request->parts[part.attempt];
    parts[part.index].assign(part.body.begin(), part.body.end());
    std::uint32_t next = request->is_feed() ? request->next : 0;
    Bytes body;
    for (; parts.contains(next); ++next) {
      RC_ASSERT(!request->is_feed() ||
                parts[next] == ToBytes("event " + std::to_string(next)));
      body.insert(body.end(), parts[next].begin(), parts[next].end());
    }
    if (request->is_feed()) {
      request->next = next;
    } else if (part.count != 0 && next == part.count) {
      Bytes expected = ToBytes(request->body);
      if (request->message.kind == RequestKind::kDocument) {
        expected.resize(upstream.document_bytes, '.');
      }
      RC_ASSERT(body == expected);
      request->answered = true;
    }
    if (++acks % 4 != 0) {  // Every fourth ACK is lost.
      SendLater(milliseconds(10 * (acks % 5)),
                AgentHarness::Encode(AckMessage{part.flow, part.sequence,
                                                part.attempt, next, 0}));
    }
  }

  void ZoneOutAndIn() {
    harness.SetZoneOut(true);
    const int before = harness.upstream_actions;
    harness.Advance(milliseconds(2500));
    RC_ASSERT(harness.upstream_actions == before);
    harness.SetZoneOut(false);
    upstream.started = harness.clock.Now();
    upstream.opened.clear();
  }

  /// Checks the load against the limits of a cold start for the time since the
  /// last start of the upstream.
  void CheckLoad() {
    const Duration age = harness.clock.Now() - upstream.started;
    const auto grown = static_cast<std::size_t>(age / seconds(2));
    RC_ASSERT(upstream.running.size() <= std::min<std::size_t>(1 + grown, 3));
    RC_ASSERT(age > seconds(4) || upstream.PeakOpenRate() <= 3);
  }

  AgentHarness harness;
  FakeUpstream& upstream;
  std::uint64_t nonces = 0;
  int bodies = 0;
  int acks = 0;
  TimePoint next_round{};
  std::vector<FlowToken> flows;
  std::map<FlowToken, std::uint32_t> sequences;
  std::map<std::pair<FlowToken, std::uint32_t>, Request> requests;
  std::vector<Bytes> sent;
  std::multimap<TimePoint, Bytes> delayed;
};

}  // namespace

TEST_CASE("every request has one correct outcome under random faults") {
  // Guards against requests that run twice, refusals of requests that ran,
  // mixed or incomplete responses, gaps in feeds, requests without an outcome,
  // and more load than a cold upstream is permitted to receive.
  const bool passed = rc::check([] {
    for (int i = 0; i < 10; ++i) {
      const auto operations = *rc::gen::scale(
          4, rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
                 rc::gen::pair(rc::gen::inRange(0, 26),
                               rc::gen::inRange<std::uint32_t>(0, 10000))));
      FaultSimulation simulation;
      simulation.Perform(0, 0);
      simulation.Perform(0, 0);
      for (const auto& [operation, pick] : operations) {
        simulation.Perform(operation, pick);
      }
      simulation.CheckOutcomes();
    }
  });
  CHECK(passed);
}

}  // namespace fireflytrestle
