#include <doctest/doctest.h>

#include "libagent/agentharness.h"
#include "libagent/flowtable.h"
#include "libagent/livenessmonitor.h"

namespace fireflytrestle {

TEST_CASE("a zone out ends all traffic and comes back cold") {
  // Guards against work that reaches the upstream after the revision, against
  // callers that are not told to move, and against full load when the zone is
  // declared in.
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

TEST_CASE("a drain takes nothing new and interrupts nothing") {
  // Guards against new work 3 s after the drain began, and against a running
  // request or feed that the drain breaks.
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

TEST_CASE("nothing is taken or sent on while the view is not confirmed") {
  // Guards against an agent that resumes from a pause with an old view.
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

TEST_CASE("a packet reaches only the flow, service and start it names") {
  // Guards against late packets that act on a flow which took the index.
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

TEST_CASE("flows without packets are dropped") {
  // Guards against flows that nobody uses holding places and connections.
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

TEST_CASE("a pause is not taken for a silent connection") {
  // Guards against replacing a connection whose answer waited unread.
  const TimePoint start(seconds(100));
  LivenessMonitor monitor(seconds(2), start);
  monitor.OnPing(start + seconds(2));
  const TimePoint resumed = start + seconds(9);
  CHECK(monitor.Check(resumed, resumed) == LivenessMonitor::Status::kHealthy);
  CHECK(monitor.Check(resumed + seconds(1), resumed) ==
        LivenessMonitor::Status::kSilent);
}

}  // namespace fireflytrestle
