#include "libconfig/configurationcodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <type_traits>
#include <utility>

#include "libbase/errorcode.h"

namespace fireflytrestle {
namespace {

// This type writes object members in alphabetical order. Reading and writing an
// entry therefore preserves its text, and with it the digest, if its members
// were in that order.
using Json = nlohmann::json;

constexpr std::string_view kZonePrefix = "zone/";
constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kTargetPrefix = "target/";
constexpr std::string_view kNextIdsKey = "next-ids";
constexpr std::size_t kMaximumNameLength = 64;
// The published form nests 5 levels; the limit bounds the recursion depth of
// dump().
constexpr int kMaximumDepth = 16;
// Limit of reported faults; more of them do not help to correct a damaged
// document.
constexpr std::size_t kMaximumFaults = 100;
constexpr const char* kRegenerate =
    "generate the file again with fireflytrestle-ctl; do not edit it by hand";

struct KindName {
  RequestKind kind;
  const char* name;
};
constexpr std::array kKindNames{KindName{RequestKind::kOrder, "order"},
                                KindName{RequestKind::kFeed, "feed"},
                                KindName{RequestKind::kDocument, "document"}};

template <typename Id>
auto ToNumber(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

template <typename Id>
std::string ToKey(std::string_view prefix, Id id) {
  return std::string(prefix) + std::to_string(ToNumber(id));
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Parses a decimal number; accepts only the form that std::to_string() writes.
template <typename Id>
std::optional<Id> ReadId(std::string_view text) {
  std::underlying_type_t<Id> value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || std::to_string(value) != text) {
    return std::nullopt;
  }
  return Id{value};
}

/// \brief Reads the elements of one entry, a JSON array, in order.
class ArrayReader {
 public:
  explicit ArrayReader(const Json& json) : m_json(json) {}

  std::string ReadString() {
    const Json* json = Next();
    if (json == nullptr || !json->is_string()) {
      m_valid = false;
      return {};
    }
    return json->get<std::string>();
  }

  bool ReadBool() {
    const Json* json = Next();
    if (json == nullptr || !json->is_boolean()) {
      m_valid = false;
      return false;
    }
    return json->get<bool>();
  }

  template <typename Number>
  Number ReadNumber() {
    const Json* json = Next();
    if (json == nullptr || !json->is_number_unsigned() ||
        json->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
      m_valid = false;
      return 0;
    }
    return json->get<Number>();
  }

  template <typename Id>
  Id ReadId() {
    return Id{ReadNumber<std::underlying_type_t<Id>>()};
  }

  SocketAddress ReadAddress() {
    const std::optional<SocketAddress> address =
        ParseSocketAddress(ReadString());
    m_valid = m_valid && address.has_value();
    return address.value_or(SocketAddress{});
  }

  /// Returns a nested array; valid only if IsComplete().
  const Json* ReadArray() {
    const Json* json = Next();
    m_valid = m_valid && json != nullptr && json->is_array();
    return json;
  }

  /// Returns whether all elements had the expected type and none is left.
  bool IsComplete() const {
    return m_valid && m_json.is_array() && m_next == m_json.size();
  }

 private:
  const Json* Next() {
    if (!m_json.is_array() || m_next >= m_json.size()) {
      return nullptr;
    }
    return &m_json[m_next++];
  }

  const Json& m_json;
  std::size_t m_next = 0;
  bool m_valid = true;
};

Json ParseLimited(std::string_view text) {
  bool too_deep = false;
  const Json::parser_callback_t limit_depth =
      [&too_deep](int depth, Json::parse_event_t, Json&) {
        too_deep = too_deep || depth > kMaximumDepth;
        return !too_deep;
      };
  Json json = Json::parse(text, limit_depth, false);
  return too_deep ? Json(Json::value_t::discarded) : std::move(json);
}

bool ReadZone(ZoneId id, const Json& json, Configuration* configuration) {
  ArrayReader reader(json);
  ZoneSettings zone;
  zone.id = id;
  zone.name = reader.ReadString();
  zone.region = reader.ReadString();
  zone.out = reader.ReadBool();
  configuration->zones.push_back(std::move(zone));
  return reader.IsComplete();
}

std::optional<RequestType> ReadRequestType(const Json& json) {
  ArrayReader reader(json);
  RequestType type;
  type.name = reader.ReadString();
  const std::string kind_name = reader.ReadString();
  type.idempotent = reader.ReadBool();
  const auto kind = std::ranges::find_if(
      kKindNames,
      [&kind_name](const KindName& each) { return each.name == kind_name; });
  if (!reader.IsComplete() || kind == kKindNames.end()) {
    return std::nullopt;
  }
  type.kind = kind->kind;
  return type;
}

bool ReadService(ServiceId id, const Json& json, Configuration* configuration) {
  ArrayReader reader(json);
  ServiceSettings service;
  service.id = id;
  service.name = reader.ReadString();
  service.address = reader.ReadAddress();
  const Json* types = reader.ReadArray();
  service.peak_flows = reader.ReadNumber<std::uint32_t>();
  service.peak_requests = reader.ReadNumber<std::uint32_t>();
  if (!reader.IsComplete()) {
    return false;
  }
  for (const Json& each : *types) {
    std::optional<RequestType> type = ReadRequestType(each);
    if (!type) {
      return false;
    }
    service.request_types.push_back(std::move(*type));
  }
  configuration->services.push_back(std::move(service));
  return true;
}

bool ReadTarget(TargetId id, const Json& json, Configuration* configuration) {
  ArrayReader reader(json);
  TargetSettings target;
  target.id = id;
  target.service = reader.ReadId<ServiceId>();
  target.zone = reader.ReadId<ZoneId>();
  target.agent = reader.ReadAddress();
  target.slots = reader.ReadNumber<std::uint32_t>();
  target.connections = reader.ReadNumber<std::uint32_t>();
  target.cold_slots = reader.ReadNumber<std::uint32_t>();
  target.cold_flows_per_second = reader.ReadNumber<std::uint32_t>();
  target.warmup = std::chrono::milliseconds(reader.ReadNumber<std::uint32_t>());
  configuration->targets.push_back(target);
  return reader.IsComplete();
}

bool ReadNextIds(const Json& json, Configuration* configuration) {
  ArrayReader reader(json);
  configuration->next_ids.zone = reader.ReadId<ZoneId>();
  configuration->next_ids.service = reader.ReadId<ServiceId>();
  configuration->next_ids.target = reader.ReadId<TargetId>();
  return reader.IsComplete();
}

/// Decodes one entry into \p configuration. Returns a description of the
/// problem, or null on success.
const char* ReadEntry(std::string_view key,
                      const std::string& text,
                      Configuration* configuration) {
  constexpr const char* kBadId = "the key does not end in a valid id";
  constexpr const char* kBadValue = "the value does not have the expected form";
  const Json json = ParseLimited(text);
  const auto read = [&]<typename Id>(
                        std::string_view prefix,
                        bool (*read_value)(Id, const Json&, Configuration*)) {
    const std::optional<Id> id = ReadId<Id>(key.substr(prefix.size()));
    if (!id) {
      return kBadId;
    }
    return read_value(*id, json, configuration) ? nullptr : kBadValue;
  };
  if (key.starts_with(kZonePrefix)) {
    return read(kZonePrefix, &ReadZone);
  }
  if (key.starts_with(kServicePrefix)) {
    return read(kServicePrefix, &ReadService);
  }
  if (key.starts_with(kTargetPrefix)) {
    return read(kTargetPrefix, &ReadTarget);
  }
  if (key == kNextIdsKey) {
    return ReadNextIds(json, configuration) ? nullptr : kBadValue;
  }
  // An entry of an unknown kind may hold a setting that operators rely on, so
  // it is an error.
  return "the kind of the key is unknown";
}

void CheckName(const std::string& name,
               const std::string& source,
               const char* what,
               std::vector<Fault>* faults) {
  if (!IsUsableName(name)) {
    faults->push_back(
        {source, std::string(what) + " is not usable as a name", kNameRule});
  }
}

/// \brief Reports each use after the first of a value that must be unique.
template <typename Value>
class UniquenessCheck {
 public:
  UniquenessCheck(const char* what, std::vector<Fault>* faults)
      : m_what(what), m_faults(faults) {}

  void Add(const Value& value, const std::string& source) {
    const auto [position, inserted] = m_sources.emplace(value, source);
    if (!inserted) {
      m_faults->push_back(
          {source,
           std::string(m_what) + " is the same as that of " + position->second,
           std::string("give each its own ") + m_what});
    }
  }

  bool Contains(const Value& value) const { return m_sources.contains(value); }

 private:
  const char* m_what;
  std::vector<Fault>* m_faults;
  std::map<Value, std::string> m_sources;
};

void CheckLimits(const TargetSettings& target,
                 const std::string& source,
                 std::vector<Fault>* faults) {
  const auto check = [&](const char* name, std::uint32_t value) {
    if (value == 0) {
      faults->push_back(
          {source, std::string(name) + " is 0", "use at least 1"});
    }
  };
  check("slots", target.slots);
  check("connections", target.connections);
  check("requests at once in a cold start", target.cold_slots);
  check("new flows per second in a cold start", target.cold_flows_per_second);
  if (target.cold_slots > target.slots) {
    faults->push_back(
        {source, "more requests at once in a cold start than slots",
         "lower the requests at once in a cold start to at most the slots"});
  }
  if (target.warmup <= std::chrono::milliseconds(0) ||
      target.warmup > kMaximumWarmup) {
    faults->push_back({source, "warm-up time is out of range",
                       "use a time from 1 ms to 1 hour"});
  }
}

template <typename Id>
void CheckNextId(Id next,
                 Id used,
                 const char* kind,
                 std::vector<Fault>* faults) {
  if (next <= used) {
    faults->push_back(
        {std::string(kNextIdsKey),
         std::string("the next id of a ") + kind + " is one that is in use",
         kRegenerate});
  }
}

template <typename Object>
auto HighestId(const std::vector<Object>& objects) {
  decltype(Object::id) highest{};
  for (const Object& object : objects) {
    highest = std::max(highest, object.id);
  }
  return highest;
}

auto MakeError(ErrorCode code, std::vector<Fault> faults) {
  return boost::leaf::new_error(code, std::move(faults));
}

/// Returns the text of the "digest" member. It includes the revision, which the
/// digest itself does not cover, so that a damaged revision is rejected.
std::string WriteDigest(Revision revision, std::uint64_t digest) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(digest));
  return std::to_string(ToNumber(revision)) + ":" + digits.data();
}

}  // namespace

bool IsUsableName(std::string_view name) {
  return !name.empty() && name.size() <= kMaximumNameLength &&
         name.front() != ' ' && name.back() != ' ' &&
         std::ranges::all_of(name, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == ' ' || c == '-' || c == '_' ||
                  c == '.';
         });
}

VersionedDocument ToDocument(const Configuration& configuration) {
  VersionedDocument document;
  document.revision = configuration.revision;
  // Values are arrays: at the design size of 8,600 targets and 2,700 services,
  // objects with named members would exceed one megabyte.
  for (const ZoneSettings& zone : configuration.zones) {
    document.entries[ToKey(kZonePrefix, zone.id)] =
        Dump(Json::array({zone.name, zone.region, zone.out}));
  }
  for (const ServiceSettings& service : configuration.services) {
    Json types = Json::array();
    for (const RequestType& type : service.request_types) {
      const auto kind =
          std::ranges::find(kKindNames, type.kind, &KindName::kind);
      types.push_back(
          Json::array({type.name, kind == kKindNames.end() ? "" : kind->name,
                       type.idempotent}));
    }
    document.entries[ToKey(kServicePrefix, service.id)] = Dump(
        Json::array({service.name, ToString(service.address), std::move(types),
                     service.peak_flows, service.peak_requests}));
  }
  for (const TargetSettings& target : configuration.targets) {
    document.entries[ToKey(kTargetPrefix, target.id)] = Dump(
        Json::array({ToNumber(target.service), ToNumber(target.zone),
                     ToString(target.agent), target.slots, target.connections,
                     target.cold_slots, target.cold_flows_per_second,
                     target.warmup.count()}));
  }
  if (configuration.next_ids != NextIds{}) {
    document.entries[std::string(kNextIdsKey)] =
        Dump(Json::array({ToNumber(configuration.next_ids.zone),
                          ToNumber(configuration.next_ids.service),
                          ToNumber(configuration.next_ids.target)}));
  }
  document.digest = ComputeDigest(document.entries);
  return document;
}

boost::leaf::result<Configuration> FromDocument(
    const VersionedDocument& document) {
  Configuration configuration;
  configuration.revision = document.revision;
  std::vector<Fault> faults;
  for (const auto& [key, text] : document.entries) {
    const char* problem = ReadEntry(key, text, &configuration);
    if (problem != nullptr && faults.size() < kMaximumFaults) {
      faults.push_back({key, problem, kRegenerate});
    }
  }
  std::ranges::sort(configuration.zones, {}, &ZoneSettings::id);
  std::ranges::sort(configuration.services, {}, &ServiceSettings::id);
  std::ranges::sort(configuration.targets, {}, &TargetSettings::id);
  if (faults.empty()) {
    faults = CheckConfiguration(configuration);
  }
  if (!faults.empty()) {
    return MakeError(ErrorCode::kInvalidConfiguration, std::move(faults));
  }
  return configuration;
}

std::vector<Fault> CheckConfiguration(const Configuration& configuration) {
  std::vector<Fault> faults;
  UniquenessCheck<ZoneId> zone_ids("id", &faults);
  UniquenessCheck<std::string> zone_names("name", &faults);
  for (const ZoneSettings& zone : configuration.zones) {
    const std::string source = ToKey(kZonePrefix, zone.id);
    zone_ids.Add(zone.id, source);
    zone_names.Add(zone.name, source);
    CheckName(zone.name, source, "the name of the zone", &faults);
    CheckName(zone.region, source, "the region", &faults);
  }
  UniquenessCheck<ServiceId> service_ids("id", &faults);
  UniquenessCheck<std::string> service_names("name", &faults);
  UniquenessCheck<std::string> service_addresses("address", &faults);
  for (const ServiceSettings& service : configuration.services) {
    const std::string source = ToKey(kServicePrefix, service.id);
    service_ids.Add(service.id, source);
    service_names.Add(service.name, source);
    service_addresses.Add(ToString(service.address), source);
    CheckName(service.name, source, "the name of the service", &faults);
    UniquenessCheck<std::string> type_names("request type name", &faults);
    for (const RequestType& type : service.request_types) {
      type_names.Add(type.name, source);
      CheckName(type.name, source, "the name of a request type", &faults);
    }
  }
  UniquenessCheck<TargetId> target_ids("id", &faults);
  UniquenessCheck<std::string> agent_addresses("agent address", &faults);
  for (const TargetSettings& target : configuration.targets) {
    const std::string source = ToKey(kTargetPrefix, target.id);
    target_ids.Add(target.id, source);
    agent_addresses.Add(ToString(target.agent), source);
    if (!service_ids.Contains(target.service)) {
      faults.push_back(
          {source, "its service does not exist", "name an existing service"});
    }
    if (!zone_ids.Contains(target.zone)) {
      faults.push_back(
          {source, "its zone does not exist", "name an existing zone"});
    }
    CheckLimits(target, source, &faults);
  }
  if (configuration.next_ids != NextIds{}) {
    CheckNextId(configuration.next_ids.zone, HighestId(configuration.zones),
                "zone", &faults);
    CheckNextId(configuration.next_ids.service,
                HighestId(configuration.services), "service", &faults);
    CheckNextId(configuration.next_ids.target, HighestId(configuration.targets),
                "target", &faults);
  }
  return faults;
}

std::string WriteDocument(const VersionedDocument& document) {
  // Each entry is on its own line, so that two revisions can be compared line
  // by line. The values are JSON text already.
  std::string text =
      "{\"revision\":" + std::to_string(ToNumber(document.revision)) +
      ",\"digest\":\"" + WriteDigest(document.revision, document.digest) +
      "\",\"entries\":{";
  const char* separator = "\n";
  for (const auto& [key, value] : document.entries) {
    text += separator;
    text += Dump(Json(key)) + ":" + value;
    separator = ",\n";
  }
  text += "\n}}\n";
  return text;
}

bool IsDocument(std::string_view text) {
  const Json json = ParseLimited(text);
  return json.is_object() &&
         (json.contains("digest") || json.contains("entries"));
}

boost::leaf::result<VersionedDocument> ReadDocument(std::string_view text) {
  const auto fail = [](std::string problem) {
    return MakeError(ErrorCode::kInvalidConfiguration,
                     {{"document", std::move(problem), kRegenerate}});
  };
  if (text.size() > kMaximumDocumentBytes) {
    return MakeError(
        ErrorCode::kTooLarge,
        {{"document",
          "it has " + std::to_string(text.size()) +
              " bytes; the configuration service holds at most " +
              std::to_string(kMaximumDocumentBytes),
          "describe fewer services or targets, or split the site"}});
  }
  const Json json = ParseLimited(text);
  if (!json.is_object()) {
    return fail("it is not a JSON object");
  }
  const auto revision = json.find("revision");
  const auto digest = json.find("digest");
  const auto entries = json.find("entries");
  if (revision == json.end() || !revision->is_number_unsigned() ||
      revision->get<std::uint64_t>() == 0) {
    return fail("\"revision\" is not a whole number of at least 1");
  }
  if (digest == json.end() || !digest->is_string()) {
    return fail("\"digest\" is not a string");
  }
  if (entries == json.end() || !entries->is_object() || json.size() != 3) {
    return fail(
        "its members are not exactly \"revision\", \"digest\" and \"entries\"");
  }
  VersionedDocument document;
  document.revision = Revision{revision->get<std::uint64_t>()};
  for (const auto& [key, value] : entries->items()) {
    document.entries[key] = Dump(value);
  }
  document.digest = ComputeDigest(document.entries);
  if (WriteDigest(document.revision, document.digest) !=
      digest->get_ref<const std::string&>()) {
    return MakeError(
        ErrorCode::kDigestMismatch,
        {{"document", "its revision or entries do not match its digest",
          kRegenerate}});
  }
  return document;
}

}  // namespace fireflytrestle
