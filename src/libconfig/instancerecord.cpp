#include "libconfig/instancerecord.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "libconfig/versioneddocument.h"

namespace fireflytrestle {
namespace {

constexpr std::string_view kPrefix = "instance/";
constexpr const char* kRegion = "region";
constexpr const char* kZone = "zone";
constexpr const char* kMeshAddress = "mesh_address";
constexpr const char* kTarget = "target";
constexpr const char* kLeaving = "leaving";

std::optional<InstanceId> ReadKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kPrefix.size());
  std::uint64_t value = 0;
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return InstanceId{value};
}

std::optional<InstanceRecord> ReadRecord(const std::string& key,
                                         const std::string& text) {
  const std::optional<InstanceId> id = ReadKey(key);
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!id || !json.is_object()) {
    return std::nullopt;
  }
  const auto region = json.find(kRegion);
  const auto zone = json.find(kZone);
  const auto address = json.find(kMeshAddress);
  const auto target = json.find(kTarget);
  const auto leaving = json.find(kLeaving);
  if (region == json.end() || !region->is_string() || zone == json.end() ||
      !zone->is_string() || (address == json.end()) == (target == json.end()) ||
      (leaving != json.end() && !leaving->is_boolean())) {
    return std::nullopt;
  }
  InstanceRecord record;
  record.id = *id;
  record.region = region->get<std::string>();
  record.zone = zone->get<std::string>();
  record.leaving = leaving != json.end() && leaving->get<bool>();
  if (address != json.end()) {
    const std::optional<SocketAddress> parsed =
        address->is_string()
            ? ParseSocketAddress(address->get_ref<const std::string&>())
            : std::nullopt;
    if (!parsed) {
      return std::nullopt;
    }
    record.role = InstanceRecord::Role::kBalancer;
    record.mesh_address = *parsed;
    return record;
  }
  if (!target->is_number_unsigned() ||
      target->get<std::uint64_t>() > UINT32_MAX) {
    return std::nullopt;
  }
  record.role = InstanceRecord::Role::kAgent;
  record.target = TargetId{target->get<std::uint32_t>()};
  return record;
}

}  // namespace

std::vector<InstanceRecord> ReadInstances(const VersionedDocument& document,
                                          std::size_t* unreadable) {
  std::vector<InstanceRecord> records;
  records.reserve(document.entries.size());
  for (const auto& [key, text] : document.entries) {
    if (std::optional<InstanceRecord> record = ReadRecord(key, text)) {
      records.push_back(std::move(*record));
    } else if (unreadable != nullptr) {
      ++*unreadable;
    }
  }
  std::ranges::sort(records, {}, &InstanceRecord::id);
  return records;
}

std::pair<std::string, std::string> ToEntry(const InstanceRecord& record) {
  // Members that do not apply are omitted, so that the list of 9,700 instances
  // at the design size fits into one megabyte.
  nlohmann::json json{{kRegion, record.region}, {kZone, record.zone}};
  if (record.role == InstanceRecord::Role::kBalancer) {
    json[kMeshAddress] = ToString(record.mesh_address);
  } else {
    json[kTarget] = static_cast<std::uint32_t>(record.target);
  }
  if (record.leaving) {
    json[kLeaving] = true;
  }
  return {std::string(kPrefix) +
              std::to_string(static_cast<std::uint64_t>(record.id)),
          json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace fireflytrestle
