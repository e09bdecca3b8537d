#include "libnet/processsettings.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr std::uint8_t kMaxKeyNumber = 15;

bool ParseInteger(std::string_view text, int base, std::uint8_t* out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *out, base);
  return error == std::errc() && stop == end;
}

std::optional<FlowKey> ParseFlowKey(std::string_view text) {
  constexpr int kHexBase = 16;
  FlowKey key;
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos ||
      !ParseInteger(text.substr(0, colon), 10, &key.number) ||
      key.number > kMaxKeyNumber) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  if (digits.size() != 2 * key.secret.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < key.secret.size(); ++i) {
    if (!ParseInteger(digits.substr(2 * i, 2), kHexBase, &key.secret[i])) {
      return std::nullopt;
    }
  }
  return key;
}

// Error messages do not contain the value, because it is secret.
std::optional<SettingProblem> ReadFlowKeys(const std::string& value,
                                           std::vector<FlowKey>* out) {
  const std::string remedy =
      "give keys as NUMBER:HEX with a number from 0 to 15 and 32 hexadecimal "
      "digits, comma separated, the signing key first";
  out->clear();
  for (const std::string& part : SplitList(value)) {
    const std::optional<FlowKey> key = ParseFlowKey(part);
    const std::string position = "key " + std::to_string(out->size() + 1);
    if (!key) {
      return SettingProblem{position + " of the list cannot be read", remedy};
    }
    if (std::any_of(out->begin(), out->end(), [&](const FlowKey& other) {
          return other.number == key->number;
        })) {
      return SettingProblem{position + " has the number of an earlier one",
                            "give each key its own number"};
    }
    out->push_back(*key);
  }
  if (out->empty()) {
    return SettingProblem{"there is no key", remedy};
  }
  return std::nullopt;
}

}  // namespace

Setting FlowKeysSetting(std::string name,
                        std::string description,
                        std::vector<FlowKey>* out) {
  return {std::move(name), "NUMBER:HEX,...", std::move(description),
          std::nullopt,
          [out](const std::string& value) { return ReadFlowKeys(value, out); }};
}

std::vector<Setting> MakeProcessSettingsTable(ProcessSettings* out) {
  return {
      NumberSetting("instance-id",
                    "Identity of this process, unique in the whole system",
                    std::nullopt, 1, std::numeric_limits<std::uint64_t>::max(),
                    [out](std::uint64_t number) {
                      out->instance_id = InstanceId{number};
                    }),
      TextSetting("region", "NAME", "Region of this instance", std::nullopt,
                  &out->region),
      TextSetting("zone", "NAME", "Availability zone of this instance",
                  std::nullopt, &out->zone),
      AddressSetting("admin-address",
                     "TCP address for metrics, state dump and readiness",
                     &out->admin_address),
      AddressSetting("platform-address",
                     "TCP address of the platform's configuration service and "
                     "instance list",
                     &out->platform_address),
      AddressListSetting("seed-balancers",
                         "Mesh addresses of balancers to ask first", "",
                         &out->seed_balancers),
      FlowKeysSetting("flow-keys",
                      "Keys of the flow identities: the first signs, all "
                      "verify",
                      &out->flow_keys),
      ChoiceSetting("log-level", {"debug", "info", "warning", "error"},
                    "Least level of the lines to log", "info", &out->log_level),
  };
}

}  // namespace fireflytrestle
