#include <doctest/doctest.h>

#include "libagent/agentharness.h"
#include "libagent/feedeventbuffer.h"

namespace fireflytrestle {

TEST_CASE("an interrupted order has an unknown outcome and is not run again") {
  // Guards against retrying an order that is non-idempotent only by
  // configuration because the caller did not set the flag, and against refusing
  // an order that has run.
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

TEST_CASE("an order that was lost before it started is retried and runs once") {
  // Guards against an order that is reported as unknown or runs twice after it
  // was delayed on a connection that became silent.
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

TEST_CASE("a silent connection is replaced and its feed is resumed") {
  // Guards against a feed that stops, repeats an event or has a gap, and
  // against an order that is sent on a connection that is already silent.
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

TEST_CASE("a feed buffers each event once and a limited number of events") {
  // Guards against repeated events, and against an unbounded buffer for a
  // caller that does not keep up.
  FeedEventBuffer events(3);
  CHECK(events.Append(3, {}) == FeedEventBuffer::Result::kDuplicate);
  CHECK(events.Append(5, {}) == FeedEventBuffer::Result::kGap);
  for (std::uint32_t i = 4; i < 68; ++i) {
    CHECK(events.Append(i, {}) == FeedEventBuffer::Result::kAppended);
  }
  CHECK(events.Append(68, {}) == FeedEventBuffer::Result::kFull);
}

TEST_CASE("a retried document is sent again from its first part") {
  // Guards against a response that mixes parts of two attempts.
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

TEST_CASE("a feed with a full buffer resumes after the caller acknowledges") {
  // Guards against a feed that stops for good when its buffer is full.
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

TEST_CASE("an open feed does not block later requests of its flow") {
  // Guards against a ledger window that cannot advance past the sequence number
  // of a long-lived feed.
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

TEST_CASE("parts reported missing by an ACK are resent to its balancer") {
  // Guards against a gap in a response that is never filled, and against
  // responses that are sent to a previous balancer, which may have failed.
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
