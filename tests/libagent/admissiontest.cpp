#include <doctest/doctest.h>

#include "libagent/agentharness.h"

namespace fireflytrestle {

using namespace std::chrono_literals;

TEST_CASE("the load on a cold upstream is limited for any number of senders") {
  // Guards against a limit that applies per sender, and against full load after
  // a fault of the upstream: 0 restart, 1 loss of all connections, 2 new start
  // identity on open connections, 3 rejection of a request due to overload.
  for (const int senders : {3, 30, 1100}) {
    for (const int fault : {0, 1, 2, 3}) {
      AgentHarness harness;
      FakeUpstream& upstream = harness.upstream;
      std::uint64_t nonce = 0;
      std::vector<std::pair<FlowToken, std::uint32_t>> flows;
      std::size_t peak = 0;
      upstream.on_run = [&] { peak = std::max(peak, upstream.running.size()); };
      const auto load = [&] {
        const std::size_t before = flows.size();
        peak = 0;
        for (int i = 0; i < senders; ++i) {
          if (const auto flow = harness.Open(++nonce, std::uint16_t(i + 1))) {
            flows.emplace_back(*flow, 1);
            harness.Request(*flow, 1, "watch", RequestKind::kFeed);
          }
          auto& [flow, sequence] = flows[nonce % flows.size()];
          harness.Request(flow, ++sequence, "peg");
        }
        harness.Advance(milliseconds(990));
        return flows.size() - before;
      };
      CHECK(load() <= 20);
      CHECK(upstream.PeakOpenRate() <= 20);
      CHECK(peak <= 1);
      harness.AdvanceToWarm();
      REQUIRE(harness.statistics().state == TargetState::kWarm);
      load();
      switch (fault) {
        case 0:
          upstream.Restart(harness.clock.Now());
          break;
        case 1:
          upstream.BreakAll();
          break;
        case 2:
          ++upstream.identity;
          harness.Advance(milliseconds(600));
          break;
        case 3:
          upstream.shed_next = 1;
          harness.Request(*harness.Open(++nonce), 1, "shed");
          harness.Advance(milliseconds(100));
          break;
      }
      upstream.opened.clear();
      harness.Advance(milliseconds(50));
      CHECK(harness.statistics().state == TargetState::kCold);
      CHECK(load() <= 20);
      CHECK(upstream.PeakOpenRate() <= 20);
      CHECK(peak <= 1);
    }
  }
}

TEST_CASE("the connection rate in a cold start holds at a busy upstream") {
  // Guards against two batches of connections, each the allowance of one
  // second, that are accepted within the same second because a busy upstream
  // accepts the first one late.
  AgentHarness harness;
  harness.AdvanceToWarm();
  for (std::uint64_t nonce = 1; nonce <= 60; ++nonce) {
    harness.Request(harness.Open(nonce).value(), 1, "watch",
                    RequestKind::kFeed);
  }
  harness.Advance(milliseconds(500));
  harness.upstream.Restart(harness.clock.Now());
  harness.Advance(seconds(5));
  const std::vector<TimePoint>& opened = harness.upstream.opened;
  constexpr std::size_t kAllowance = 20;
  constexpr milliseconds kLate{200};
  REQUIRE(opened.size() > 2 * kAllowance);
  for (std::size_t i = 0; i + kAllowance < opened.size(); ++i) {
    CHECK(opened[i + kAllowance] - opened[i] >= seconds(1) + kLate);
  }
}

TEST_CASE("the request limit grows in steps unless responses are slow") {
  // Guards against a warm-up that depends only on time and ignores slow or
  // missing responses.
  for (const milliseconds later : {30ms, 500ms, 50000ms}) {
    AgentHarness harness;
    const FlowToken flow = harness.Open(1).value();
    for (std::uint32_t i = 1; i <= 16; ++i) {
      harness.upstream.service_time = i > 8 || later > 1s ? later : 30ms;
      harness.Request(flow, i, "peg", RequestKind::kOrder, false, seconds(60));
      harness.Advance(seconds(1));
      harness.Send(AckMessage{flow, i, 0, 1, 0});
    }
    harness.Advance(seconds(15));
    CHECK(harness.statistics().request_limit == (later > 30ms ? 1 : 3));
  }
}

TEST_CASE("the request queue is limited in length and drops expired requests") {
  // Guards against an unbounded queue and against requests that run after their
  // deadline.
  AgentHarness harness;
  harness.upstream.service_time = seconds(8);
  const FlowToken flows[] = {*harness.Open(1), *harness.Open(2)};
  harness.received.clear();
  harness.Request(flows[0], 1, "running");
  for (std::uint32_t i = 2; i < 50; ++i) {
    harness.Request(flows[i % 2], 1 + i / 2, std::to_string(i),
                    RequestKind::kOrder, false, seconds(5));
  }
  CHECK(harness.statistics().queued_requests == 3 * 8);
  CHECK(harness.Messages<RefusedMessage>().size() == 48 - 3 * 8);
  harness.Advance(milliseconds(5100));
  CHECK(harness.statistics().queued_requests == 0);
  CHECK(harness.Messages<RefusedMessage>().back().reason ==
        RefusalReason::kDeadline);
  CHECK(harness.upstream.running.size() == 1);
}

TEST_CASE("retries to the upstream stay within the retry budget") {
  // Guards against retries that multiply the load on an overloaded upstream.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.shed_next = 1000000;
  for (std::uint32_t i = 1; i <= 300; ++i) {
    harness.Request(flow, i, "peg");
    harness.Advance(milliseconds(350));
  }
  // Burst of 100, a tenth of 300 requests, and one per second for 105 s.
  CHECK(harness.statistics().upstream_retries <= 100 + 30 + 105);
  CHECK(harness.upstream.runs.empty());
}

TEST_CASE("a slot is not reused until the upstream confirms the cancel") {
  // Guards against two concurrent requests in a cold start if the caller of the
  // first one closes its flow and the cancel is lost.
  AgentHarness harness;
  const FlowToken flows[] = {*harness.Open(1), *harness.Open(2)};
  harness.upstream.service_time = seconds(6);
  harness.Request(flows[0], 1, "first");
  harness.Advance(milliseconds(100));
  harness.upstream.silent.insert(*harness.upstream.connections.begin());
  harness.upstream.on_run = [&] {
    CHECK(harness.upstream.running.size() == 1);
  };
  harness.Send(CloseMessage{flows[0]});
  harness.Request(flows[1], 1, "second");
  harness.Advance(seconds(3));
  CHECK(harness.upstream.runs["second"] == 1);
}

TEST_CASE("callers receive HANDOVER while the upstream is unreachable") {
  // Guards against callers that keep waiting for an unreachable upstream, and
  // against refusing a request that may have run.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.service_time = seconds(5);
  harness.Request(flow, 1, "watch", RequestKind::kFeed);
  harness.Request(flow, 3, "running");
  harness.Advance(milliseconds(100));
  harness.upstream.refuses_connections = true;
  harness.upstream.BreakAll();
  harness.Advance(milliseconds(100));
  harness.Request(flow, 2, "peg");
  harness.Advance(seconds(3));
  CHECK(harness.Messages<RefusedMessage>().size() == 1);
  CHECK(harness.Messages<OutcomeUnknownMessage>().size() == 1);
  CHECK(harness.Messages<HandoverMessage>().size() >= 1);
  CHECK_FALSE(harness.Open(2).has_value());
}

}  // namespace fireflytrestle
