#include "libflow/nodemessagecodec.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "libwire/msgpackreader.h"
#include "libwire/msgpackwriter.h"

namespace fireflytrestle {

namespace {

enum class Kind : std::uint8_t {
  kDeliver = 1,
  kReturn,
  kFlowUnknown,
  kBalancerHeartbeat,
  kAgentStatus,
  kSharedChanges,
  kReportRequest,
  kFlowQuery,
  kFlowHandover,
  kLivenessQuery,
  kFlowOwner,
  kOverdueAgents,
  kStoppingAgents,
  kCount,
};

constexpr std::uint32_t kDeliverFields = 8;
/// The same for a flow whose route has another priority than the default.
constexpr std::uint32_t kPriorityDeliverFields = kDeliverFields + 1;
constexpr std::uint32_t kReturnFields = 3;
constexpr std::uint32_t kFlowUnknownFields = 5;
/// The same for an answer that is not certain, or after a returned packet.
constexpr std::uint32_t kFlowUnknownDetailFields = 7;
constexpr std::uint32_t kFlowQueryFields = 7;
constexpr std::uint32_t kFlowHandoverFields = 8;
constexpr std::uint32_t kLivenessQueryFields = 1;
constexpr std::uint32_t kFlowOwnerFields = 7;
constexpr std::uint32_t kOverdueAgentsFields = 2;
constexpr std::uint32_t kStoppingAgentsFields = 2;
constexpr std::uint32_t kStoppingAgentFields = 3;
constexpr std::uint32_t kHeartbeatFields = 9;
/// The same for an upstream whose start time is known.
constexpr std::uint32_t kStartedHeartbeatFields = kHeartbeatFields + 1;
constexpr std::uint32_t kStatusFields = 10;
/// The same for a status with a report interval.
constexpr std::uint32_t kNumberedStatusFields = 12;
/// Both kinds of status have one more field from an agent that needs a
/// handover.
constexpr std::uint32_t kStartedStatusFields = kStatusFields + 1;
constexpr std::uint32_t kStartedNumberedStatusFields =
    kNumberedStatusFields + 1;
/// The same for a status with a report interval and the upstream's load.
constexpr std::uint32_t kLoadStatusFields = kStartedNumberedStatusFields + 2;
constexpr std::uint32_t kReportRequestFields = 3;
/// The same for a request that names the service of the agent's address.
constexpr std::uint32_t kServiceReportRequestFields = 5;
/// Both kinds of request have one more field from a balancer that reads the
/// upstream's load.
constexpr std::uint32_t kLoadReportRequestFields = kReportRequestFields + 1;
constexpr std::uint32_t kLoadServiceReportRequestFields =
    kServiceReportRequestFields + 1;
constexpr std::uint32_t kFlowFields = 5;
constexpr std::uint32_t kAddressFields = 2;
constexpr std::uint32_t kSharedChangesFields = 9;
constexpr std::uint32_t kItemFields = 3;
/// Messages with longer names of services and zones are rejected.
constexpr std::size_t kMaxNameBytes = 200;
/// A datagram holds no more store items, and none that is larger.
constexpr std::uint32_t kMaxItems = 100;
constexpr std::size_t kMaxItemBytes = 1500;
constexpr std::uint64_t kMax16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxMs = 24ULL * 3600 * 1000;
/// The end of the year 9999.
constexpr std::uint64_t kMaxUnixMs = 253'402'300'799'999;
constexpr std::uint64_t kMaxHandoverParts = 10'000;
/// No caller waits for a request for as long; a report that says more is wrong.
constexpr std::uint64_t kMaxWorkUs = 60ULL * 1000 * 1000;
constexpr std::uint64_t kMaxWaitUs = 3600ULL * 1000 * 1000;

void WriteHead(MsgpackWriter* writer, Kind kind, std::uint32_t fields) {
  writer->WriteArray(fields);
  writer->WriteUint(static_cast<std::uint64_t>(kind));
}

void WriteName(MsgpackWriter* writer, std::string_view name) {
  writer->WriteBinary(
      {reinterpret_cast<const std::uint8_t*>(name.data()), name.size()});
}

std::string_view ReadName(MsgpackReader* reader) {
  const std::span<const std::uint8_t> bytes = reader->ReadBinary(kMaxNameBytes);
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Writes a time within the range that readers accept.
void WriteTime(MsgpackWriter* writer, std::chrono::milliseconds time) {
  const auto count = std::max<std::int64_t>(time.count(), 0);
  writer->WriteUint(std::min(static_cast<std::uint64_t>(count), kMaxMs));
}

/// The same in microseconds, with the given range.
void WriteDuration(MsgpackWriter* writer,
                   std::chrono::microseconds time,
                   std::uint64_t min,
                   std::uint64_t max) {
  const auto count = std::max<std::int64_t>(time.count(), 0);
  writer->WriteUint(std::clamp(static_cast<std::uint64_t>(count), min, max));
}

std::chrono::milliseconds ReadTime(MsgpackReader* reader) {
  return std::chrono::milliseconds(reader->ReadUint(0, kMaxMs));
}

void Write(MsgpackWriter* writer, const DeliverMessage& message) {
  const std::uint8_t priority = message.flow_class.priority;
  const bool has_priority = priority != kDefaultPriority;
  WriteHead(writer, Kind::kDeliver,
            has_priority ? kPriorityDeliverFields : kDeliverFields);
  WriteName(writer, message.service);
  writer->WriteBool(message.search);
  writer->WriteBool(message.flow_class.idempotent);
  writer->WriteBool(message.flow_class.long_lived);
  WriteTime(writer, message.flow_class.latency_objective);
  WriteTime(writer, message.flow_class.timeout);
  writer->WriteBinary(message.packet);
  if (has_priority) {
    writer->WriteUint(priority);
  }
}

void Write(MsgpackWriter* writer, const ReturnMessage& message) {
  WriteHead(writer, Kind::kReturn, kReturnFields);
  writer->WriteUint(static_cast<std::uint64_t>(message.reason));
  writer->WriteBinary(message.packet);
}

void WriteTuple(MsgpackWriter* writer, const FlowTuple& tuple) {
  writer->WriteUint(tuple.caller.ipv4);
  writer->WriteUint(tuple.caller.port);
  writer->WriteUint(tuple.route.ipv4);
  writer->WriteUint(tuple.route.port);
}

FlowTuple ReadTuple(MsgpackReader* reader) {
  FlowTuple tuple;
  reader->Read(&tuple.caller.ipv4, 0, kMax32);
  reader->Read(&tuple.caller.port, 0, kMax16);
  reader->Read(&tuple.route.ipv4, 0, kMax32);
  reader->Read(&tuple.route.port, 0, kMax16);
  return tuple;
}

void Write(MsgpackWriter* writer, const FlowUnknownMessage& message) {
  const bool has_detail = !message.is_certain || message.has_packet;
  WriteHead(writer, Kind::kFlowUnknown,
            has_detail ? kFlowUnknownDetailFields : kFlowUnknownFields);
  WriteTuple(writer, message.tuple);
  if (has_detail) {
    writer->WriteBool(message.is_certain);
    writer->WriteBool(message.has_packet);
  }
}

void Write(MsgpackWriter* writer, const FlowQuery& message) {
  WriteHead(writer, Kind::kFlowQuery, kFlowQueryFields);
  WriteTuple(writer, message.tuple);
  writer->WriteUint(message.acknowledgment);
  writer->WriteBool(message.is_reset);
}

void WriteAddresses(MsgpackWriter* writer,
                    const std::vector<SocketAddress>& addresses) {
  writer->WriteArray(static_cast<std::uint32_t>(addresses.size()));
  for (const SocketAddress& address : addresses) {
    writer->WriteArray(kAddressFields);
    writer->WriteUint(address.ipv4);
    writer->WriteUint(address.port);
  }
}

std::vector<SocketAddress> ReadAddresses(MsgpackReader* reader,
                                         std::size_t max_count) {
  std::vector<SocketAddress> addresses;
  const std::uint32_t count = reader->ReadArray();
  if (count > max_count) {
    reader->Fail(WireError::kOutOfRange);
    return addresses;
  }
  for (std::uint32_t i = 0; i < count && reader->ok(); ++i) {
    SocketAddress& address = addresses.emplace_back();
    reader->ReadArrayOf(kAddressFields);
    reader->Read(&address.ipv4, 0, kMax32);
    reader->Read(&address.port, 0, kMax16);
  }
  return addresses;
}

void Write(MsgpackWriter* writer, const BalancerHeartbeat& message) {
  const bool has_start = message.upstream_started != WallTime{};
  WriteHead(writer, Kind::kBalancerHeartbeat,
            has_start ? kStartedHeartbeatFields : kHeartbeatFields);
  writer->WriteUint(static_cast<std::uint64_t>(message.incarnation));
  writer->WriteUint(static_cast<std::uint64_t>(message.entry_revision));
  writer->WriteBool(message.draining);
  writer->WriteBool(message.zone_out);
  writer->WriteUint(message.slots);
  WriteTime(writer, message.cold_left);
  writer->WriteUint(message.cold_rate_milli);
  WriteAddresses(writer, message.new_balancers);
  if (has_start) {
    writer->WriteUint(static_cast<std::uint64_t>(
        message.upstream_started.time_since_epoch().count()));
  }
}

void Write(MsgpackWriter* writer, const ReportedFlow& flow) {
  writer->WriteArray(kFlowFields);
  WriteTuple(writer, flow.tuple);
  writer->WriteUint(flow.acknowledgment);
}

void Write(MsgpackWriter* writer, const std::vector<ReportedFlow>& flows) {
  writer->WriteArray(static_cast<std::uint32_t>(flows.size()));
  for (const ReportedFlow& flow : flows) {
    Write(writer, flow);
  }
}

void Write(MsgpackWriter* writer, const FlowHandover& message) {
  WriteHead(writer, Kind::kFlowHandover, kFlowHandoverFields);
  WriteName(writer, message.service);
  writer->WriteUint(static_cast<std::uint64_t>(message.incarnation));
  writer->WriteUint(message.round);
  writer->WriteUint(message.part);
  writer->WriteUint(message.parts);
  writer->WriteBool(message.is_complete);
  Write(writer, message.flows);
}

void Write(MsgpackWriter* writer, const LivenessQuery& /*message*/) {
  WriteHead(writer, Kind::kLivenessQuery, kLivenessQueryFields);
}

void Write(MsgpackWriter* writer, const FlowOwnerMessage& message) {
  WriteHead(writer, Kind::kFlowOwner, kFlowOwnerFields);
  WriteTuple(writer, message.tuple);
  writer->WriteUint(message.agent.ipv4);
  writer->WriteUint(message.agent.port);
}

void Write(MsgpackWriter* writer, const OverdueAgents& message) {
  WriteHead(writer, Kind::kOverdueAgents, kOverdueAgentsFields);
  WriteAddresses(writer, message.agents);
}

void Write(MsgpackWriter* writer, const StoppingAgents& message) {
  WriteHead(writer, Kind::kStoppingAgents, kStoppingAgentsFields);
  writer->WriteArray(static_cast<std::uint32_t>(message.agents.size()));
  for (const StoppingAgent& agent : message.agents) {
    writer->WriteArray(kStoppingAgentFields);
    writer->WriteUint(agent.address.ipv4);
    writer->WriteUint(agent.address.port);
    writer->WriteUint(static_cast<std::uint64_t>(agent.incarnation));
  }
}

void Write(MsgpackWriter* writer, const AgentStatus& message) {
  const bool has_load = message.report_interval && message.load;
  const std::uint32_t fields =
      (message.report_interval ? kNumberedStatusFields : kStatusFields) +
      (message.needs_handover ? 1 : 0);
  WriteHead(writer, Kind::kAgentStatus, has_load ? kLoadStatusFields : fields);
  writer->WriteUint(static_cast<std::uint64_t>(message.incarnation));
  WriteName(writer, message.service);
  WriteName(writer, message.zone);
  writer->WriteUint(static_cast<std::uint64_t>(message.phase));
  writer->WriteUint(message.running);
  writer->WriteUint(message.long_flows);
  WriteTime(writer, message.oldest_flow);
  Write(writer, message.opened);
  WriteAddresses(writer, message.new_balancers);
  if (message.report_interval) {
    WriteTime(writer, *message.report_interval);
    writer->WriteUint(message.number);
  }
  if (message.needs_handover || has_load) {
    writer->WriteBool(message.needs_handover);
  }
  if (has_load) {
    WriteDuration(writer, message.load->wait, 0, kMaxWaitUs);
    WriteDuration(writer, message.load->work, 1, kMaxWorkUs);
  }
}

void Write(MsgpackWriter* writer, const ReportRequest& message) {
  WriteHead(writer, Kind::kReportRequest,
            (message.service.empty() ? kReportRequestFields
                                     : kServiceReportRequestFields) +
                (message.wants_load ? 1 : 0));
  WriteName(writer, message.zone);
  WriteTime(writer, message.interval);
  if (!message.service.empty()) {
    WriteName(writer, message.service);
    writer->WriteUint(static_cast<std::uint64_t>(message.entry_revision));
  }
  if (message.wants_load) {
    writer->WriteBool(message.wants_load);
  }
}

void Write(MsgpackWriter* writer, const SharedChanges& message) {
  WriteHead(writer, Kind::kSharedChanges, kSharedChangesFields);
  WriteName(writer, message.prefix);
  writer->WriteUint(static_cast<std::uint64_t>(message.sender));
  writer->WriteBool(message.reads_store);
  WriteTime(writer, message.age);
  writer->WriteUint(static_cast<std::uint64_t>(message.after));
  writer->WriteUint(static_cast<std::uint64_t>(message.as_of));
  writer->WriteArray(static_cast<std::uint32_t>(message.items.size()));
  for (const StoreItem& item : message.items) {
    writer->WriteArray(kItemFields);
    WriteName(writer, item.key);
    writer->WriteUint(static_cast<std::uint64_t>(item.revision));
    if (item.value) {
      WriteName(writer, *item.value);
    } else {
      writer->WriteNil();
    }
  }
  WriteAddresses(writer, message.peers);
}

DeliverMessage ReadDeliver(MsgpackReader* reader) {
  DeliverMessage message;
  message.service = ReadName(reader);
  message.search = reader->ReadBool();
  message.flow_class.idempotent = reader->ReadBool();
  message.flow_class.long_lived = reader->ReadBool();
  message.flow_class.latency_objective = ReadTime(reader);
  message.flow_class.timeout = ReadTime(reader);
  message.packet = reader->ReadBinary(std::numeric_limits<std::size_t>::max());
  return message;
}

DeliverMessage ReadPriorityDeliver(MsgpackReader* reader) {
  DeliverMessage message = ReadDeliver(reader);
  reader->Read(&message.flow_class.priority, 0, kMaxPriority);
  return message;
}

ReturnMessage ReadReturn(MsgpackReader* reader) {
  ReturnMessage message;
  reader->Read(&message.reason, 1,
               static_cast<std::uint64_t>(ReturnReason::kCount) - 1);
  message.packet = reader->ReadBinary(std::numeric_limits<std::size_t>::max());
  return message;
}

FlowUnknownMessage ReadFlowUnknown(MsgpackReader* reader) {
  return {ReadTuple(reader)};
}

FlowUnknownMessage ReadFlowUnknownDetail(MsgpackReader* reader) {
  FlowUnknownMessage message = ReadFlowUnknown(reader);
  message.is_certain = reader->ReadBool();
  message.has_packet = reader->ReadBool();
  return message;
}

FlowQuery ReadFlowQuery(MsgpackReader* reader) {
  FlowQuery message;
  message.tuple = ReadTuple(reader);
  reader->Read(&message.acknowledgment, 0, kMax32);
  message.is_reset = reader->ReadBool();
  return message;
}

BalancerHeartbeat ReadHeartbeat(MsgpackReader* reader) {
  BalancerHeartbeat message;
  reader->Read(&message.incarnation, 0, kMax64);
  reader->Read(&message.entry_revision, 0, kMax64);
  message.draining = reader->ReadBool();
  message.zone_out = reader->ReadBool();
  reader->Read(&message.slots, 0, kMax32);
  message.cold_left = ReadTime(reader);
  reader->Read(&message.cold_rate_milli, 0, kMax32);
  message.new_balancers = ReadAddresses(reader, kMaxNewBalancers);
  return message;
}

BalancerHeartbeat ReadStartedHeartbeat(MsgpackReader* reader) {
  BalancerHeartbeat message = ReadHeartbeat(reader);
  message.upstream_started =
      WallTime(std::chrono::milliseconds(reader->ReadUint(0, kMaxUnixMs)));
  return message;
}

ReportedFlow ReadFlow(MsgpackReader* reader) {
  ReportedFlow flow;
  reader->ReadArrayOf(kFlowFields);
  flow.tuple = ReadTuple(reader);
  reader->Read(&flow.acknowledgment, 0, kMax32);
  return flow;
}

std::vector<ReportedFlow> ReadFlows(MsgpackReader* reader) {
  std::vector<ReportedFlow> flows;
  const std::uint32_t count = reader->ReadArray();
  if (count > kMaxFlowsPerStatus) {
    reader->Fail(WireError::kOutOfRange);
    return flows;
  }
  for (std::uint32_t i = 0; i < count && reader->ok(); ++i) {
    flows.push_back(ReadFlow(reader));
  }
  return flows;
}

FlowHandover ReadFlowHandover(MsgpackReader* reader) {
  FlowHandover message;
  message.service = ReadName(reader);
  reader->Read(&message.incarnation, 0, kMax64);
  reader->Read(&message.round, 0, kMax64);
  reader->Read(&message.part, 0, kMaxHandoverParts);
  reader->Read(&message.parts, 1, kMaxHandoverParts);
  message.is_complete = reader->ReadBool();
  message.flows = ReadFlows(reader);
  return message;
}

LivenessQuery ReadLivenessQuery(MsgpackReader* /*reader*/) {
  return {};
}

FlowOwnerMessage ReadFlowOwner(MsgpackReader* reader) {
  FlowOwnerMessage message;
  message.tuple = ReadTuple(reader);
  reader->Read(&message.agent.ipv4, 0, kMax32);
  reader->Read(&message.agent.port, 0, kMax16);
  return message;
}

OverdueAgents ReadOverdueAgents(MsgpackReader* reader) {
  return {ReadAddresses(reader, kMaxOverdueAgents)};
}

StoppingAgents ReadStoppingAgents(MsgpackReader* reader) {
  StoppingAgents message;
  const std::uint32_t count = reader->ReadArray();
  if (count > kMaxOverdueAgents) {
    reader->Fail(WireError::kOutOfRange);
    return message;
  }
  for (std::uint32_t i = 0; i < count && reader->ok(); ++i) {
    StoppingAgent& agent = message.agents.emplace_back();
    reader->ReadArrayOf(kStoppingAgentFields);
    reader->Read(&agent.address.ipv4, 0, kMax32);
    reader->Read(&agent.address.port, 0, kMax16);
    reader->Read(&agent.incarnation, 0, kMax64);
  }
  return message;
}

AgentStatus ReadStatus(MsgpackReader* reader) {
  AgentStatus message;
  reader->Read(&message.incarnation, 0, kMax64);
  message.service = ReadName(reader);
  message.zone = ReadName(reader);
  reader->Read(&message.phase, 1,
               static_cast<std::uint64_t>(AgentPhase::kCount) - 1);
  reader->Read(&message.running, 0, kMax32);
  reader->Read(&message.long_flows, 0, kMax32);
  message.oldest_flow = ReadTime(reader);
  message.opened = ReadFlows(reader);
  message.new_balancers = ReadAddresses(reader, kMaxNewBalancers);
  return message;
}

AgentStatus ReadNumberedStatus(MsgpackReader* reader) {
  AgentStatus message = ReadStatus(reader);
  message.report_interval = ReadTime(reader);
  reader->Read(&message.number, 0, kMax64);
  return message;
}

template <auto Reader>
AgentStatus ReadStarted(MsgpackReader* reader) {
  AgentStatus message = Reader(reader);
  message.needs_handover = reader->ReadBool();
  return message;
}

AgentStatus ReadLoadStatus(MsgpackReader* reader) {
  AgentStatus message = ReadStarted<ReadNumberedStatus>(reader);
  UpstreamLoad load;
  load.wait = std::chrono::microseconds(reader->ReadUint(0, kMaxWaitUs));
  load.work = std::chrono::microseconds(reader->ReadUint(1, kMaxWorkUs));
  message.load = load;
  return message;
}

ReportRequest ReadReportRequest(MsgpackReader* reader) {
  ReportRequest message;
  message.zone = ReadName(reader);
  message.interval = ReadTime(reader);
  return message;
}

ReportRequest ReadServiceReportRequest(MsgpackReader* reader) {
  ReportRequest message = ReadReportRequest(reader);
  message.service = ReadName(reader);
  reader->Read(&message.entry_revision, 0, kMax64);
  return message;
}

template <auto Reader>
ReportRequest ReadLoadReportRequest(MsgpackReader* reader) {
  ReportRequest message = Reader(reader);
  message.wants_load = reader->ReadBool();
  return message;
}

std::string ReadText(MsgpackReader* reader) {
  const std::span<const std::uint8_t> bytes = reader->ReadBinary(kMaxItemBytes);
  return {bytes.begin(), bytes.end()};
}

SharedChanges ReadSharedChanges(MsgpackReader* reader) {
  SharedChanges message;
  message.prefix = ReadName(reader);
  reader->Read(&message.sender, 0, kMax64);
  message.reads_store = reader->ReadBool();
  message.age = ReadTime(reader);
  reader->Read(&message.after, 0, kMax64);
  reader->Read(&message.as_of, 0, kMax64);
  const std::uint32_t count = reader->ReadArray();
  if (count > kMaxItems) {
    reader->Fail(WireError::kOutOfRange);
    return message;
  }
  for (std::uint32_t i = 0; i < count && reader->ok(); ++i) {
    StoreItem& item = message.items.emplace_back();
    reader->ReadArrayOf(kItemFields);
    item.key = ReadText(reader);
    reader->Read(&item.revision, 0, kMax64);
    if (!reader->TryReadNil()) {
      item.value = ReadText(reader);
    }
  }
  message.peers = ReadAddresses(reader, kMaxSharedPeers);
  return message;
}

struct MessageFormat {
  Kind kind;
  std::uint32_t fields;
  NodeMessage (*read)(MsgpackReader*);
};

template <auto Reader>
NodeMessage ReadAs(MsgpackReader* reader) {
  return Reader(reader);
}

constexpr MessageFormat kMessageFormats[] = {
    {Kind::kDeliver, kDeliverFields, ReadAs<ReadDeliver>},
    {Kind::kDeliver, kPriorityDeliverFields, ReadAs<ReadPriorityDeliver>},
    {Kind::kReturn, kReturnFields, ReadAs<ReadReturn>},
    {Kind::kFlowUnknown, kFlowUnknownFields, ReadAs<ReadFlowUnknown>},
    {Kind::kFlowUnknown, kFlowUnknownDetailFields,
     ReadAs<ReadFlowUnknownDetail>},
    {Kind::kBalancerHeartbeat, kHeartbeatFields, ReadAs<ReadHeartbeat>},
    {Kind::kBalancerHeartbeat, kStartedHeartbeatFields,
     ReadAs<ReadStartedHeartbeat>},
    {Kind::kAgentStatus, kStatusFields, ReadAs<ReadStatus>},
    {Kind::kAgentStatus, kNumberedStatusFields, ReadAs<ReadNumberedStatus>},
    {Kind::kAgentStatus, kStartedStatusFields, ReadAs<ReadStarted<ReadStatus>>},
    {Kind::kAgentStatus, kStartedNumberedStatusFields,
     ReadAs<ReadStarted<ReadNumberedStatus>>},
    {Kind::kAgentStatus, kLoadStatusFields, ReadAs<ReadLoadStatus>},
    {Kind::kSharedChanges, kSharedChangesFields, ReadAs<ReadSharedChanges>},
    {Kind::kReportRequest, kReportRequestFields, ReadAs<ReadReportRequest>},
    {Kind::kReportRequest, kServiceReportRequestFields,
     ReadAs<ReadServiceReportRequest>},
    {Kind::kReportRequest, kLoadReportRequestFields,
     ReadAs<ReadLoadReportRequest<ReadReportRequest>>},
    {Kind::kReportRequest, kLoadServiceReportRequestFields,
     ReadAs<ReadLoadReportRequest<ReadServiceReportRequest>>},
    {Kind::kFlowQuery, kFlowQueryFields, ReadAs<ReadFlowQuery>},
    {Kind::kFlowHandover, kFlowHandoverFields, ReadAs<ReadFlowHandover>},
    {Kind::kLivenessQuery, kLivenessQueryFields, ReadAs<ReadLivenessQuery>},
    {Kind::kFlowOwner, kFlowOwnerFields, ReadAs<ReadFlowOwner>},
    {Kind::kOverdueAgents, kOverdueAgentsFields, ReadAs<ReadOverdueAgents>},
    {Kind::kStoppingAgents, kStoppingAgentsFields, ReadAs<ReadStoppingAgents>},
};

}  // namespace

const char* ToString(ReturnReason reason) {
  switch (reason) {
    case ReturnReason::kWrongService:
      return "wrong_service";
    case ReturnReason::kUpstreamFull:
      return "upstream_full";
    case ReturnReason::kUpstreamDraining:
      return "upstream_draining";
    case ReturnReason::kUpstreamDown:
      return "upstream_down";
    case ReturnReason::kUpstreamCold:
      return "upstream_cold";
    case ReturnReason::kZoneOut:
      return "zone_out";
    case ReturnReason::kUpstreamFailing:
      return "upstream_failing";
    case ReturnReason::kAgentStopping:
      return "agent_stopping";
    case ReturnReason::kCount:
      break;
  }
  return "unknown";
}

const char* ToString(AgentPhase phase) {
  switch (phase) {
    case AgentPhase::kServing:
      return "serving";
    case AgentPhase::kUpstreamDown:
      return "upstream_down";
    case AgentPhase::kStopping:
      return "stopping";
    case AgentPhase::kCount:
      break;
  }
  return "unknown";
}

std::size_t EncodeNodeMessage(const NodeMessage& message,
                              std::span<std::uint8_t> out) {
  MsgpackWriter writer(out);
  std::visit([&](const auto& each) { Write(&writer, each); }, message);
  return writer.Finish();
}

std::optional<NodeMessage> DecodeNodeMessage(
    std::span<const std::uint8_t> datagram) {
  MsgpackReader reader(datagram);
  const std::uint32_t fields = reader.ReadArray();
  Kind kind{};
  reader.Read(&kind, 1, static_cast<std::uint64_t>(Kind::kCount) - 1);
  const auto* format =
      std::find_if(std::begin(kMessageFormats), std::end(kMessageFormats),
                   [&](const MessageFormat& each) {
                     return each.kind == kind && each.fields == fields;
                   });
  if (!reader.ok() || format == std::end(kMessageFormats)) {
    return std::nullopt;
  }
  NodeMessage message = format->read(&reader);
  if (reader.Finish() != WireError::kNone) {
    return std::nullopt;
  }
  return message;
}

}  // namespace fireflytrestle
