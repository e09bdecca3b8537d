#include "libflow/nodemessagecodec.h"

#include <doctest/doctest.h>

#include <random>

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

std::vector<std::uint8_t> Encode(const NodeMessage& message) {
  std::vector<std::uint8_t> bytes(1500);
  bytes.resize(EncodeNodeMessage(message, bytes));
  return bytes;
}

NodeMessage Status(std::size_t flows) {
  AgentStatus status;
  status.incarnation = Incarnation{7};
  status.service = "a-service-with-quite-a-long-name";
  status.zone = "a-zone";
  status.running = 0xFFFFFFFF;
  status.oldest_flow = milliseconds(60000);
  status.long_flows = 0xFFFFFFFF;
  for (std::size_t i = 0; i < flows; ++i) {
    status.opened.push_back(
        {{{0xFFFFFFFF, 0xFFFF}, {0xFFFFFFFF, 0xFFFF}}, 0xFFFFFFFF});
  }
  status.new_balancers.assign(kMaxNewBalancers, {0xFFFFFFFF, 0xFFFF});
  status.report_interval = milliseconds(60000);
  status.number = 0xFFFFFFFFFFFFFFFF;
  status.load = UpstreamLoad{std::chrono::hours(1), std::chrono::minutes(1)};
  return status;
}

}  // namespace

TEST_CASE("a delivered packet is decoded unchanged") {
  const std::vector<std::uint8_t> packet(1232, 0xA5);
  DeliverMessage message;
  message.service = "counter";
  message.search = true;
  message.flow_class = {true, false, milliseconds(120), milliseconds(800), 2};
  message.packet = packet;
  const std::vector<std::uint8_t> bytes = Encode(message);
  const auto decoded = DecodeNodeMessage(bytes);
  REQUIRE(decoded);
  const auto& read = std::get<DeliverMessage>(*decoded);
  CHECK(read.service == "counter");
  CHECK(read.search);
  CHECK(read.flow_class == message.flow_class);
  CHECK(std::equal(read.packet.begin(), read.packet.end(), packet.begin(),
                   packet.end()));
}

TEST_CASE("shared changes of the store are decoded unchanged") {
  SharedChanges changes;
  changes.prefix = "servers/";
  changes.peers.assign(kMaxSharedPeers, {0xFFFFFFFF, 0xFFFF});
  changes.sender = Incarnation{0xFFFFFFFFFFFFFFFF};
  changes.reads_store = true;
  changes.after = Revision{7};
  changes.as_of = Revision{0xFFFFFFFFFFFFFFFF};
  changes.items = {{"servers/i-1", std::string("{\"a\":\0}", 8), Revision{9}},
                   {"servers/i-2", std::nullopt, Revision{10}},
                   {"", std::string(), Revision{11}}};
  const auto decoded = DecodeNodeMessage(Encode(changes));
  REQUIRE(decoded);
  const auto& read = std::get<SharedChanges>(*decoded);
  CHECK(read.prefix == changes.prefix);
  CHECK(read.peers == changes.peers);
  CHECK(read.sender == changes.sender);
  CHECK(read.reads_store);
  CHECK(read.after == changes.after);
  CHECK(read.as_of == changes.as_of);
  REQUIRE(read.items.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(read.items[i].key == changes.items[i].key);
    CHECK(read.items[i].value == changes.items[i].value);
    CHECK(read.items[i].revision == changes.items[i].revision);
  }
}

TEST_CASE("a report request is decoded unchanged") {
  ReportRequest request{"a-zone", milliseconds(100), "", Revision{}};
  SUBCASE("without the service of the address") {}
  SUBCASE("with the service of the address") {
    request.service = "counter";
    request.entry_revision = Revision{77};
  }
  SUBCASE("from a balancer that reads the load") {
    request.wants_load = true;
  }
  SUBCASE("with the service, from a balancer that reads the load") {
    request.service = "counter";
    request.entry_revision = Revision{77};
    request.wants_load = true;
  }
  const std::vector<std::uint8_t> bytes = Encode(request);
  const auto decoded = DecodeNodeMessage(bytes);
  REQUIRE(decoded);
  const auto& read = std::get<ReportRequest>(*decoded);
  CHECK(read.zone == "a-zone");
  CHECK(read.interval == milliseconds(100));
  CHECK(read.service == request.service);
  CHECK(read.entry_revision == request.entry_revision);
  CHECK(read.wants_load == request.wants_load);
}

TEST_CASE("a status is decoded with and without a report interval") {
  AgentStatus status;
  status.incarnation = Incarnation{7};
  const auto plain = DecodeNodeMessage(Encode(status));
  REQUIRE(plain);
  CHECK_FALSE(std::get<AgentStatus>(*plain).report_interval);
  status.report_interval = milliseconds(0);
  status.number = 0xFFFFFFFFFFFFFFFF;
  const auto numbered = DecodeNodeMessage(Encode(status));
  REQUIRE(numbered);
  CHECK_FALSE(std::get<AgentStatus>(*numbered).needs_handover);
  CHECK(std::get<AgentStatus>(*numbered).report_interval == milliseconds(0));
  CHECK(std::get<AgentStatus>(*numbered).number == status.number);
  status.needs_handover = true;
  const auto started = DecodeNodeMessage(Encode(status));
  REQUIRE(started);
  CHECK(std::get<AgentStatus>(*started).needs_handover);
  CHECK(std::get<AgentStatus>(*started).number == status.number);
  status.report_interval.reset();
  const auto unnumbered = DecodeNodeMessage(Encode(status));
  REQUIRE(unnumbered);
  CHECK(std::get<AgentStatus>(*unnumbered).needs_handover);
  CHECK_FALSE(std::get<AgentStatus>(*unnumbered).report_interval);
}

TEST_CASE("a status is decoded with the load of its upstream") {
  AgentStatus status;
  status.report_interval = milliseconds(100);
  status.number = 7;
  status.load = UpstreamLoad{milliseconds(30), std::chrono::microseconds(4200)};
  for (const bool needs_handover : {false, true}) {
    status.needs_handover = needs_handover;
    const auto decoded = DecodeNodeMessage(Encode(status));
    REQUIRE(decoded);
    CHECK(std::get<AgentStatus>(*decoded).load == status.load);
    CHECK(std::get<AgentStatus>(*decoded).needs_handover == needs_handover);
    CHECK(std::get<AgentStatus>(*decoded).number == 7);
  }
}

// Guards against a report with impossible figures that draws all new flows to
// an upstream, or none.
TEST_CASE("a status with impossible figures is rejected") {
  AgentStatus status;
  status.report_interval = milliseconds(100);
  status.load = UpstreamLoad{milliseconds(0), milliseconds(0)};
  // The writer limits the work to 1 us, the last byte.
  std::vector<std::uint8_t> bytes = Encode(status);
  REQUIRE(DecodeNodeMessage(bytes));
  bytes.back() = 0;
  CHECK_FALSE(DecodeNodeMessage(bytes));
  status.load = UpstreamLoad{milliseconds(0), std::chrono::minutes(1)};
  bytes = Encode(status);
  REQUIRE(DecodeNodeMessage(bytes));
  ++bytes.back();
  CHECK_FALSE(DecodeNodeMessage(bytes));
}

TEST_CASE("queries and their answers are decoded unchanged") {
  const FlowTuple tuple{{0xFFFFFFFF, 0xFFFF}, {1, 2}};
  const auto query = DecodeNodeMessage(Encode(FlowQuery{tuple, 77, true}));
  REQUIRE(query);
  CHECK(std::get<FlowQuery>(*query).tuple == tuple);
  CHECK(std::get<FlowQuery>(*query).acknowledgment == 77);
  CHECK(std::get<FlowQuery>(*query).is_reset);
  const auto liveness = DecodeNodeMessage(Encode(LivenessQuery{}));
  REQUIRE(liveness);
  CHECK(std::holds_alternative<LivenessQuery>(*liveness));
  const SocketAddress agent{0xFFFFFFFF, 0xFFFF};
  const auto owner = DecodeNodeMessage(Encode(FlowOwnerMessage{tuple, agent}));
  REQUIRE(owner);
  CHECK(std::get<FlowOwnerMessage>(*owner).tuple == tuple);
  CHECK(std::get<FlowOwnerMessage>(*owner).agent == agent);
  const OverdueAgents overdue{{kMaxOverdueAgents, agent}};
  CHECK(Encode(overdue).size() <= 1400);
  const auto overdue_read = DecodeNodeMessage(Encode(overdue));
  REQUIRE(overdue_read);
  CHECK(std::get<OverdueAgents>(*overdue_read).agents == overdue.agents);
  const StoppingAgents stopping{
      {kMaxOverdueAgents, {agent, Incarnation{0xFFFFFFFFFFFFFFFF}}}};
  CHECK(Encode(stopping).size() <= 1400);
  const auto stopping_read = DecodeNodeMessage(Encode(stopping));
  REQUIRE(stopping_read);
  const auto& agents = std::get<StoppingAgents>(*stopping_read).agents;
  REQUIRE(agents.size() == kMaxOverdueAgents);
  CHECK(agents.back().address == agent);
  CHECK(agents.back().incarnation == Incarnation{0xFFFFFFFFFFFFFFFF});
  for (const bool is_certain : {false, true}) {
    for (const bool has_packet : {false, true}) {
      const auto answer = DecodeNodeMessage(
          Encode(FlowUnknownMessage{tuple, is_certain, has_packet}));
      REQUIRE(answer);
      const auto& read = std::get<FlowUnknownMessage>(*answer);
      CHECK(read.tuple == tuple);
      CHECK(read.is_certain == is_certain);
      CHECK(read.has_packet == has_packet);
    }
  }
}

TEST_CASE("the largest handover fits into a datagram and is unchanged") {
  FlowHandover handover;
  handover.service = "a-service-with-quite-a-long-name";
  handover.incarnation = Incarnation{0xFFFFFFFFFFFFFFFF};
  handover.round = 0xFFFFFFFFFFFFFFFF;
  handover.part = 9'999;
  handover.parts = 10'000;
  handover.is_complete = true;
  handover.flows.assign(
      kMaxFlowsPerStatus,
      {{{0xFFFFFFFF, 0xFFFF}, {0xFFFFFFFF, 0xFFFF}}, 0xFFFFFFFF});
  const std::vector<std::uint8_t> bytes = Encode(handover);
  const auto decoded = DecodeNodeMessage(bytes);
  REQUIRE(decoded);
  const auto& read = std::get<FlowHandover>(*decoded);
  CHECK(read.service == handover.service);
  CHECK(read.incarnation == handover.incarnation);
  CHECK(read.round == handover.round);
  CHECK(read.part == handover.part);
  CHECK(read.parts == handover.parts);
  CHECK(read.is_complete);
  CHECK(read.flows.size() == kMaxFlowsPerStatus);
  handover.flows.push_back({});
  CHECK_FALSE(DecodeNodeMessage(Encode(handover)));
}

// Guards against an agent that no balancer hears any more (FLOW), because one
// of its flows has been in use for longer than a message can state.
TEST_CASE("a status with a flow that is older than a day is readable") {
  AgentStatus status;
  status.oldest_flow = std::chrono::hours(1000);
  const auto decoded = DecodeNodeMessage(Encode(status));
  REQUIRE(decoded);
  CHECK(std::get<AgentStatus>(*decoded).oldest_flow == std::chrono::hours(24));
}

TEST_CASE("the largest status fits into a datagram") {
  const std::vector<std::uint8_t> bytes = Encode(Status(kMaxFlowsPerStatus));
  REQUIRE(!bytes.empty());
  const auto decoded = DecodeNodeMessage(bytes);
  REQUIRE(decoded);
  CHECK(std::get<AgentStatus>(*decoded).opened.size() == kMaxFlowsPerStatus);
  CHECK_FALSE(DecodeNodeMessage(Encode(Status(kMaxFlowsPerStatus + 1))));
}

TEST_CASE("every truncation of a message is rejected") {
  const std::vector<std::uint8_t> bytes = Encode(Status(3));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeNodeMessage(std::span(bytes.data(), size)));
  }
}

TEST_CASE("200,000 mutated messages are decoded or rejected") {
  std::mt19937_64 random(20261204);
  BalancerHeartbeat heartbeat;
  heartbeat.new_balancers = {{1, 2}};
  BalancerHeartbeat started = heartbeat;
  started.upstream_started = WallTime(std::chrono::hours(500'000));
  SharedChanges changes;
  changes.items = {{"servers/i-1", "{}", Revision{3}},
                   {"servers/i-2", std::nullopt, Revision{4}}};
  const std::vector<NodeMessage> messages = {
      DeliverMessage{"counter", false, {}, {}},
      DeliverMessage{"counter", false, {.priority = 0}, {}},
      ReturnMessage{ReturnReason::kUpstreamFull, {}},
      FlowUnknownMessage{},
      FlowUnknownMessage{{}, false},
      FlowQuery{},
      LivenessQuery{},
      FlowOwnerMessage{},
      OverdueAgents{{{1, 2}}},
      StoppingAgents{{{{1, 2}, Incarnation{3}}}},
      FlowHandover{"counter", Incarnation{1}, 2, 0, 1, true, {{}, {}}},
      heartbeat,
      started,
      Status(2),
      changes,
      ReportRequest{"a-zone", milliseconds(100), "", Revision{}},
      ReportRequest{"a-zone", milliseconds(100), "counter", Revision{77}}};
  for (int i = 0; i < 200'000; ++i) {
    std::vector<std::uint8_t> bytes =
        Encode(messages[random() % messages.size()]);
    bytes.resize(bytes.size() - random() % 2);
    for (int change = 0; change < 2; ++change) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    DecodeNodeMessage(bytes);
  }
}

}  // namespace fireflytrestle
