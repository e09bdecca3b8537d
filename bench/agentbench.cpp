#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>
#include <cstring>
#include <memory>
#include <vector>

#include "libagent/agentengine.h"
#include "libagent/agentstatistics.h"
#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "libconfig/configuration.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"

namespace fireflytrestle {
namespace {

using std::chrono::milliseconds;

/// \brief An agent with a given number of open flows and a fake upstream that
/// answers each request immediately.
class AgentFixture {
 public:
  explicit AgentFixture(std::uint32_t flows)
      : m_engine(TargetId{5},
                 FlowIdCodec({FlowKey{1, {7}}}),
                 std::make_unique<SeededRandom>(1),
                 m_clock.Now()) {
    m_actions.reserve(256);
    m_tokens.reserve(flows);
    Configuration configuration;
    configuration.revision = Revision{1};
    configuration.zones = {{ZoneId{2}, "piassa", "addis", false}};
    configuration.services = {{ServiceId{3}, "counter", {1, 1}, {}}};
    // The cold limits equal the warm ones, so that admission control does not
    // slow down the opening of the flows.
    configuration.targets = {{TargetId{5},
                              ServiceId{3},
                              ZoneId{2},
                              {1, 900},
                              64,
                              flows,
                              64,
                              flows,
                              milliseconds(1)}};
    m_engine.SetLease(TimePoint::max());
    m_engine.SetConfiguration(configuration, m_clock.Now(), &m_actions);
    Tick();
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint32_t i = 0; i < flows; ++i) {
      Nonce nonce{};
      std::memcpy(nonce.data(), &i, sizeof(i));
      Send(OpenMessage{nonce});
      Send(PingMessage{m_tokens.back()});
    }
    // Advances past the time for which the agent keeps the nonce of a
    // handshake, so that nonces do not count towards the bytes of a flow.
    Tick(milliseconds(5100));
    m_bytes_per_flow =
        static_cast<double>(mallinfo2().uordblks - before) / flows;
    m_sequences.resize(flows);
  }

  /// Runs one order to its end: REQUEST, the response of the upstream, PART and
  /// ACK.
  void RunOrder(std::size_t flow) {
    const std::uint32_t sequence = ++m_sequences[flow];
    Send(RequestMessage{m_tokens[flow], sequence, RequestKind::kOrder, true,
                        milliseconds(5000), 0, m_body});
    Send(AckMessage{m_tokens[flow], sequence, 0, 1, 0});
  }

  void OpenFeed(std::size_t flow) {
    Send(RequestMessage{m_tokens[flow], ++m_sequences[flow], RequestKind::kFeed,
                        false, milliseconds(0), 0, m_body});
  }

  void SendPing(std::size_t flow) { Send(PingMessage{m_tokens[flow]}); }

  void Tick(milliseconds step = milliseconds(50)) {
    m_clock.Advance(step);
    m_engine.OnTick(m_clock.Now(), &m_actions);
    PerformActions();
  }

  double bytes_per_flow() const { return m_bytes_per_flow; }
  std::size_t size() const { return m_tokens.size(); }
  const AgentStatistics& statistics() const { return m_engine.statistics(); }

 private:
  void Send(const CallerMessage& message) {
    std::array<std::uint8_t, kMaxDatagramBytes> payload;
    Envelope envelope;
    envelope.kind = EnvelopeKind::kForward;
    envelope.service = ServiceId{3};
    envelope.payload =
        std::span(payload).first(EncodeCallerMessage(message, payload));
    std::array<std::uint8_t, kMaxDatagramBytes + kMaxEnvelopeOverheadBytes> out;
    const std::size_t size = EncodeEnvelope(envelope, out);
    m_engine.OnDatagram({1, 1}, std::span(out).first(size), m_clock.Now(),
                        &m_actions);
    PerformActions();
  }

  void PerformActions() {
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
      const AgentAction action = std::move(m_actions[i]);
      if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
        OnDatagram(*datagram);
      } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
        DeliverUpstreamMessage(open->connection, UpstreamHello{77, false});
      } else if (const auto* send = std::get_if<SendUpstream>(&action)) {
        if (const auto* request =
                std::get_if<UpstreamRequest>(&send->message)) {
          if (request->kind == RequestKind::kOrder) {
            DeliverUpstreamMessage(
                send->connection,
                UpstreamPart{request->number, request->attempt, m_body, true});
          }
        } else if (std::holds_alternative<UpstreamPing>(send->message)) {
          DeliverUpstreamMessage(send->connection, UpstreamPong{77, false});
        }
      }
    }
    m_actions.clear();
  }

  void DeliverUpstreamMessage(ConnectionId connection,
                              const UpstreamMessage& message) {
    m_engine.OnUpstreamMessage(connection, message, m_clock.Now(), &m_actions);
  }

  void OnDatagram(const SendDatagram& sent) {
    Envelope envelope;
    CallerMessage message;
    DecodeEnvelope(sent.datagram, &envelope);
    DecodeCallerMessage(envelope.payload, &message);
    if (const auto* accepted = std::get_if<AcceptedMessage>(&message)) {
      m_tokens.push_back(accepted->flow);
    }
  }

  ManualClock m_clock;
  AgentEngine m_engine;
  std::vector<AgentAction> m_actions;
  std::vector<FlowToken> m_tokens;
  std::vector<std::uint32_t> m_sequences;
  std::vector<std::uint8_t> m_body = std::vector<std::uint8_t>(32, 'x');
  double m_bytes_per_flow = 0;
};

void OrderOnOpenFlows(benchmark::State& state) {
  AgentFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  // Orders rotate over 2,000 flows, the connection limit of one target.
  std::size_t next = 0;
  for (auto _ : state) {
    fixture.RunOrder(next++ % 2000);
  }
  state.counters["bytes/flow"] = fixture.bytes_per_flow();
  state.counters["answered"] =
      static_cast<double>(fixture.statistics().answered_requests);
  state.SetItemsProcessed(state.iterations());
}

void PingOnOpenFlows(benchmark::State& state) {
  AgentFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  std::size_t next = 0;
  for (auto _ : state) {
    fixture.SendPing(next++ * 7919 % fixture.size());
  }
  state.SetItemsProcessed(state.iterations());
}

/// Measures ticks of 50 ms. Each flow sends a PING every 5 s; the handling of
/// these PINGs is not timed.
void MeasureTicks(benchmark::State& state, AgentFixture& fixture) {
  std::size_t next = 0;
  for (auto _ : state) {
    state.PauseTiming();
    for (std::size_t i = 0; i < fixture.size() / 100; ++i) {
      fixture.SendPing(next++ % fixture.size());
    }
    state.ResumeTiming();
    fixture.Tick();
  }
  state.counters["flows"] = fixture.statistics().open_flows;
}

void TickOnOpenFlows(benchmark::State& state) {
  AgentFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  MeasureTicks(state, fixture);
}

/// Measures ticks with a feed without events on each flow. The agent pings the
/// upstream connection of a feed every 2 s; the measured time includes the
/// sending of these pings and the handling of their answers.
void TickOnOpenFeeds(benchmark::State& state) {
  AgentFixture fixture(static_cast<std::uint32_t>(state.range(0)));
  // An order on each flow first, so that the bytes of the upstream connection
  // are not counted as bytes of the feed.
  for (std::size_t i = 0; i < fixture.size(); ++i) {
    fixture.RunOrder(i);
  }
  const std::size_t before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < fixture.size(); ++i) {
    fixture.OpenFeed(i);
  }
  // The order has already allocated the flow's list of requests, so the second
  // measurement of the heap does not contain it.
  constexpr double kRequestListBytes = 32;
  state.counters["bytes/flow+feed"] =
      fixture.bytes_per_flow() + kRequestListBytes +
      static_cast<double>(mallinfo2().uordblks - before) /
          static_cast<double>(fixture.size());
  MeasureTicks(state, fixture);
}

BENCHMARK(OrderOnOpenFlows)->Arg(10000)->Arg(100000)->Arg(1000000);
BENCHMARK(PingOnOpenFlows)->Arg(10000)->Arg(100000)->Arg(1000000);
BENCHMARK(TickOnOpenFlows)
    ->Arg(2000)
    ->Arg(10000)
    ->Arg(100000)
    ->Arg(1000000)
    ->Iterations(400);
BENCHMARK(TickOnOpenFeeds)->Arg(2000)->Arg(10000)->Arg(100000)->Iterations(400);

}  // namespace
}  // namespace fireflytrestle

BENCHMARK_MAIN();
