#include <doctest/doctest.h>

#include "libagent/agentharness.h"
#include "libagent/feedeventbuffer.h"

namespace fireflytrestle {

TEST_CASE("an order that was interrupted is unknown, never run again") {
  // Guards against retries of an order whose flag the caller left out, and
  // against a refusal of one that has run.
  for (const bool restart : {false, true}) {
    AgentHarness harness;
    harness.SetNonIdempotent(RequestKind::kOrder);
    const FlowToken flow = harness.Open(1).value();
    harness.Request(flow, 1, "first");
    harness.Advance(milliseconds(100));
    harness.Send(AckMessage{flow, 1, 0, 1, 0});
    harness.upstream.service_time = seconds(4);
    harness.Request(flow, 2, "peg");
    REQUIRE(harness.upstream.runs["peg"] == 1);
    restart ? harness.upstream.Restart(harness.clock.Now())
            : harness.upstream.Break(harness.LastConnection());
    harness.Advance(seconds(9));
    harness.Request(flow, 2, "peg");
    CHECK(harness.upstream.runs["peg"] == 1);
    CHECK(harness.Messages<OutcomeUnknownMessage>().size() == 2);
    CHECK(harness.Messages<RefusedMessage>().empty());
  }
}

TEST_CASE("an order that the upstream had not started runs once") {
  // Guards against an order reported unknown, or run twice, when it was held
  // up on a connection that went silent.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.Request(flow, 1, "first");
  harness.Advance(milliseconds(100));
  harness.upstream.stalled.insert(harness.LastConnection());
  harness.Request(flow, 2, "peg", RequestKind::kOrder, true);
  harness.Advance(milliseconds(3400));
  CHECK(harness.upstream.runs["peg"] == 1);
  CHECK(harness.Messages<PartMessage>().back().sequence == 2);
  harness.Advance(seconds(5));
  CHECK(harness.upstream.runs["peg"] == 1);
}

TEST_CASE("a silent connection is replaced and its feed goes on") {
  // Guards against a feed that stays silent, repeats an event or has a gap,
  // and against an order sent on a connection that is silent already.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.Request(flow, 1, "watch", RequestKind::kFeed);
  harness.upstream.last_event = 5;
  harness.Advance(milliseconds(100));
  harness.Send(AckMessage{flow, 1, 0, 6, 0});
  harness.upstream.silent.insert(harness.LastConnection());
  harness.upstream.last_event = 9;
  harness.Advance(milliseconds(3200));
  const auto events = harness.Messages<PartMessage>();
  REQUIRE(events.size() == 9);
  for (std::uint32_t i = 0; i < 9; ++i) {
    CHECK(events[i].index == i + 1);
  }
  CHECK(harness.statistics().replaced_connections == 1);
  CHECK(harness.upstream.requests.back().resume_after == 5);
  harness.Send(AckMessage{flow, 1, 0, 10, 0});
  harness.Send(CancelMessage{flow, 1});
  harness.Advance(milliseconds(2500));
  harness.upstream.silent.insert(harness.LastConnection());
  harness.Request(flow, 2, "peg", RequestKind::kOrder, true);
  harness.Advance(milliseconds(1300));
  CHECK(harness.upstream.runs["peg"] == 1);
  CHECK(harness.statistics().upstream_retries == 0);
}

TEST_CASE("a feed takes each event once and keeps a bounded number") {
  // Guards against repeated events, and events kept without bound for a caller
  // that falls behind.
  FeedEventBuffer events(3);
  CHECK(events.Append(3, {}) == FeedEventBuffer::Result::kDuplicate);
  CHECK(events.Append(5, {}) == FeedEventBuffer::Result::kGap);
  for (std::uint32_t i = 4; i < 68; ++i) {
    CHECK(events.Append(i, {}) == FeedEventBuffer::Result::kAppended);
  }
  CHECK(events.Append(68, {}) == FeedEventBuffer::Result::kFull);
}

TEST_CASE("a retried document starts anew") {
  // Guards against a response put together from two attempts.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.document_bytes = 4000;
  harness.Request(flow, 1, "sheet", RequestKind::kDocument);
  harness.Advance(milliseconds(30));
  harness.upstream.Break(harness.LastConnection());
  harness.Advance(milliseconds(180));
  const auto parts = harness.Messages<PartMessage>();
  REQUIRE(parts.size() == 2 + 4);
  CHECK(parts[2].attempt == 1);
  CHECK(parts[5].count == 4);
}

TEST_CASE("events beyond the kept number come once the caller caught up") {
  // Guards against a feed that stops when its caller falls behind.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.Request(flow, 1, "watch", RequestKind::kFeed);
  harness.upstream.last_event = 65;
  for (const std::uint32_t next : {1, 33, 65}) {
    harness.Advance(milliseconds(100));
    harness.Send(AckMessage{flow, 1, 0, next, 0});
  }
  harness.Advance(milliseconds(100));
  CHECK(harness.Messages<PartMessage>().back().index == 65);
}

TEST_CASE("an open feed does not end the requests of its flow") {
  // Guards against a window that a long-lived feed holds at its number.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.Request(flow, 1, "watch", RequestKind::kFeed);
  for (std::uint32_t i = 2; i <= 40; ++i) {
    harness.Request(flow, i, std::to_string(i));
    harness.Advance(milliseconds(100));
    harness.Send(AckMessage{flow, i, 0, 1, 0});
  }
  CHECK(harness.upstream.runs.size() == 39);
}

TEST_CASE("parts are resent by the bitmap, to the last balancer") {
  // Guards against a gap that is never filled, and against responses sent to a
  // balancer that has gone.
  AgentHarness harness;
  const FlowToken flow = harness.Open(1).value();
  harness.upstream.document_bytes = 50 * 1000;
  harness.Request(flow, 1, "sheet", RequestKind::kDocument);
  harness.Advance(milliseconds(100));
  CHECK(harness.Messages<PartMessage>().size() == 32);
  harness.received.clear();
  harness.Send(AckMessage{flow, 1, 0, 2, 0b101}, 2);
  const auto parts = harness.Messages<PartMessage>();
  REQUIRE(parts.size() == 4);
  CHECK(parts[0].index == 2);
  CHECK(parts[1].index == 4);
  CHECK(parts[2].index == 32);
  CHECK(harness.received.back().balancer.port == 2);
  harness.Send(AckMessage{flow, 1, 1, 34, 0});
  CHECK(harness.Messages<PartMessage>().size() == 4);
  harness.Advance(milliseconds(300));
  CHECK(harness.Messages<PartMessage>()[4].index == 2);
}

}  // namespace fireflytrestle
