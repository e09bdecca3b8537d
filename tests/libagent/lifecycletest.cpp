#include <doctest/doctest.h>

#include "libagent/agentharness.h"
#include "libagent/flowtable.h"
#include "libagent/livenessmonitor.h"

namespace fireflytrestle {

TEST_CASE("a zone set out stops all traffic and starts cold once set in") {
  // Guards against traffic to the upstream after the revision that sets the
  // zone out, against a missing HANDOVER to callers, and against full load
  // right after the zone is set in.
  AgentHarness harness;
  harness.AdvanceToWarm();
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.service_time = milliseconds(500);
  harness.Request(flow, 1, "peg");
  harness.Advance(milliseconds(100));
  harness.SetZoneOut(true);
  CHECK(harness.Messages<HandoverMessage>().size() == 1);
  const int before = harness.upstream_actions;
  harness.Request(flow, 2, "late");
  CHECK_FALSE(harness.Open(2).has_value());
  CHECK(harness.received[0].kind == EnvelopeKind::kBounce);
  CHECK(harness.received[0].status.state == TargetState::kOut);
  harness.Advance(milliseconds(2500));
  CHECK(harness.Messages<PartMessage>().size() >= 1);
  CHECK(harness.Messages<ResetMessage>().size() == 1);
  CHECK(harness.upstream_actions == before);
  CHECK(harness.upstream.connections.empty());
  CHECK(harness.statistics().open_flows == 0);
  harness.SetZoneOut(false);
  CHECK(harness.statistics().state == TargetState::kCold);
  CHECK(harness.statistics().request_limit == 1);
}

TEST_CASE("a drain refuses new requests and does not interrupt running ones") {
  // Guards against new work being sent to the upstream 3 s after the start of a
  // drain, and against a drain that ends a running request or feed. The causes
  // are: 0 drain of the upstream, 1 leaving mark, 2 stop of the agent.
  for (const int cause : {0, 1, 2}) {
    AgentHarness harness;
    const FlowToken flow = harness.Open(1).value();
    harness.upstream.service_time = seconds(6);
    harness.Request(flow, 1, "watch", RequestKind::kFeed);
    harness.Request(flow, 2, "running", RequestKind::kDocument, true);
    harness.Request(flow, 3, "queued");
    harness.Advance(milliseconds(100));
    harness.upstream.draining = cause == 0;
    if (cause == 1) {
      harness.engine.SetLeaving(true, harness.clock.Now(), &harness.actions);
    } else if (cause == 2) {
      harness.engine.BeginStop(harness.clock.Now(), &harness.actions);
    }
    harness.Advance(seconds(3));
    harness.Request(flow, 4, "new");
    const auto refused = harness.Messages<RefusedMessage>();
    REQUIRE(refused.size() == 2);
    CHECK(refused[1].reason == RefusalReason::kDraining);
    CHECK((harness.Messages<HandoverMessage>().size() >= 3) == (cause == 2));
    harness.upstream.last_event = 1;
    harness.Advance(seconds(4));
    CHECK(harness.upstream.runs.size() == 1);
    CHECK(harness.Messages<PartMessage>().size() >= 4);
    CHECK_FALSE(harness.engine.IsStopped(harness.clock.Now()));
    harness.Send(CloseMessage{flow});
    CHECK(harness.engine.IsStopped(harness.clock.Now()) == (cause == 2));
    CHECK_FALSE(harness.Open(2).has_value());
  }
}

TEST_CASE("no request is accepted or forwarded without a view lease") {
  // Guards against an agent that acts on a stale view after a pause.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.service_time = seconds(1);
  harness.Request(flow, 1, "watch", RequestKind::kFeed);
  harness.Request(flow, 2, "running");
  harness.Request(flow, 3, "queued");
  harness.Request(flow, 4, "expires", RequestKind::kOrder, true, seconds(5));
  harness.Advance(milliseconds(100));
  harness.renews_lease = false;
  harness.clock.Advance(milliseconds(2500));
  const int before = harness.upstream_actions;
  CHECK_FALSE(harness.Open(2).has_value());
  harness.Request(flow, 5, "new");
  harness.upstream.last_event = 2;
  harness.Advance(seconds(120));
  CHECK(harness.received.empty());
  CHECK(harness.upstream_actions == before);
  harness.renews_lease = true;
  harness.Advance(seconds(3));
  CHECK(harness.Messages<PartMessage>().size() >= 3);
  CHECK(harness.Messages<RefusedMessage>().size() == 2);
  CHECK(harness.upstream.runs.size() == 1);
}

TEST_CASE("a packet is accepted only for the flow that its token identifies") {
  // Guards against late packets that affect a newer flow with the same index,
  // and against forged tokens.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  CHECK(harness.Open(1) == flow);
  harness.Send(CloseMessage{flow});
  harness.Send(PingMessage{flow});
  CHECK(harness.Messages<ResetMessage>().size() == 1);
  FlowToken forged = flow;
  forged[20] ^= 1;
  harness.Send(PingMessage{forged});
  CHECK(harness.statistics().dropped_malformed == 1);
  FlowTable table;
  const FlowHandle old = table.Open(Nonce{}, TimePoint())->handle;
  FlowHandle reused = old;
  table.Close(table.Find(old));
  while (reused = table.Open(Nonce{}, TimePoint())->handle,
         reused.index != old.index) {
    table.Close(table.Find(reused));
  }
  CHECK(table.Find(old) == nullptr);
  CHECK(table.Find(reused) != nullptr);
}

TEST_CASE("unconfirmed and idle flows are closed") {
  // Guards against unused flows that keep counting toward the flow limit and
  // occupying connections.
  AgentHarness harness;
  const FlowToken confirmed = harness.Open(1).value();
  harness.Send(PingMessage{confirmed});
  harness.Open(2);
  CHECK(harness.statistics().open_flows == 2);
  harness.Advance(milliseconds(5100));
  CHECK(harness.statistics().open_flows == 1);
  harness.Advance(seconds(55));
  CHECK(harness.statistics().open_flows == 0);
}

TEST_CASE("a pause of the process is not mistaken for a silent connection") {
  // Guards against replacing a connection whose pong arrived during the pause
  // and has not been read yet.
  const TimePoint start(seconds(100));
  LivenessMonitor monitor(seconds(2), start);
  monitor.OnPing(start + seconds(2));
  const TimePoint resumed = start + seconds(9);
  CHECK(monitor.Check(resumed, resumed) == LivenessMonitor::Status::kHealthy);
  CHECK(monitor.Check(resumed + seconds(1), resumed) ==
        LivenessMonitor::Status::kSilent);
}

}  // namespace fireflytrestle
