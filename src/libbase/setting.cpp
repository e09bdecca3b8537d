#include "libbase/setting.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr char kAddressPlaceholder[] = "ADDRESS:PORT";
constexpr char kAddressRemedy[] =
    "give an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:9000";

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string Join(const std::vector<std::string>& parts, const char* separator) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += (joined.empty() ? "" : separator) + part;
  }
  return joined;
}

SettingProblem NotAnAddress(const std::string& value) {
  return {"\"" + value + "\" is not an IPv4 address with a port",
          kAddressRemedy};
}

}  // namespace

std::string EnvironmentVariable(const std::string& setting_name) {
  std::string variable = "FIREFLYTRESTLE_";
  for (const char c : setting_name) {
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return variable;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  if (text.empty()) {
    return parts;
  }
  std::size_t begin = 0;
  for (std::size_t comma = text.find(','); comma != std::string::npos;
       comma = text.find(',', begin)) {
    parts.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  parts.push_back(text.substr(begin));
  return parts;
}

Setting TextSetting(std::string name,
                    std::string placeholder,
                    std::string description,
                    std::optional<std::string> default_value,
                    std::string* out) {
  auto apply = [out](const std::string& value) {
    std::optional<SettingProblem> problem;
    if (value.empty()) {
      problem = SettingProblem{"the value is empty",
                               "give a text of at least one character"};
    } else {
      *out = value;
    }
    return problem;
  };
  return {std::move(name), std::move(placeholder), std::move(description),
          std::move(default_value), std::move(apply)};
}

Setting ChoiceSetting(std::string name,
                      std::vector<std::string> choices,
                      std::string description,
                      std::optional<std::string> default_value,
                      std::string* out) {
  std::string placeholder = Join(choices, "|");
  auto apply = [out, choices = std::move(choices)](const std::string& value) {
    std::optional<SettingProblem> problem;
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
      problem = SettingProblem{"\"" + value + "\" is not a known value",
                               "give one of " + Join(choices, ", ")};
    } else {
      *out = value;
    }
    return problem;
  };
  return {std::move(name), std::move(placeholder), std::move(description),
          std::move(default_value), std::move(apply)};
}

Setting NumberSetting(std::string name,
                      std::string description,
                      std::optional<std::string> default_value,
                      std::uint64_t min_value,
                      std::uint64_t max_value,
                      std::function<void(std::uint64_t)> store) {
  auto apply = [store = std::move(store), min_value,
                max_value](const std::string& value) {
    std::optional<SettingProblem> problem;
    const std::optional<std::uint64_t> number = ParseNumber(value);
    if (!number || *number < min_value || *number > max_value) {
      problem = SettingProblem{
          "\"" + value + "\" is not a whole number in the permitted range",
          "give a number from " + std::to_string(min_value) + " to " +
              std::to_string(max_value)};
    } else {
      store(*number);
    }
    return problem;
  };
  return {std::move(name), "NUMBER", std::move(description),
          std::move(default_value), std::move(apply)};
}

Setting DecimalSetting(std::string name,
                       std::string description,
                       std::optional<std::string> default_value,
                       double min_value,
                       double max_value,
                       std::function<void(double)> store) {
  auto apply = [store = std::move(store), min_value,
                max_value](const std::string& value) {
    std::optional<SettingProblem> problem;
    double number = 0.0;
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end || !(number >= min_value) ||
        !(number <= max_value)) {
      problem = SettingProblem{
          "\"" + value + "\" is not a decimal number in the permitted range",
          "give a number from " + std::to_string(min_value) + " to " +
              std::to_string(max_value)};
    } else {
      store(number);
    }
    return problem;
  };
  return {std::move(name), "DECIMAL", std::move(description),
          std::move(default_value), std::move(apply)};
}

Setting MillisecondsSetting(std::string name,
                            std::string description,
                            std::optional<std::string> default_value,
                            std::chrono::milliseconds max_value,
                            std::chrono::milliseconds* out) {
  Setting setting = NumberSetting(std::move(name), std::move(description),
                                  std::move(default_value), 0,
                                  static_cast<std::uint64_t>(max_value.count()),
                                  [out](std::uint64_t number) {
                                    *out = std::chrono::milliseconds(number);
                                  });
  setting.placeholder = "MILLISECONDS";
  return setting;
}

Setting AddressSetting(std::string name,
                       std::string description,
                       SocketAddress* out) {
  auto apply = [out](const std::string& value) {
    std::optional<SettingProblem> problem;
    const std::optional<SocketAddress> address = ParseSocketAddress(value);
    if (!address) {
      problem = NotAnAddress(value);
    } else {
      *out = *address;
    }
    return problem;
  };
  return {std::move(name), kAddressPlaceholder, std::move(description),
          std::nullopt, std::move(apply)};
}

Setting AddressListSetting(std::string name,
                           std::string description,
                           std::optional<std::string> default_value,
                           std::vector<SocketAddress>* out) {
  auto apply = [out](const std::string& value) {
    std::optional<SettingProblem> problem;
    out->clear();
    for (const std::string& part : SplitList(value)) {
      const std::optional<SocketAddress> address = ParseSocketAddress(part);
      if (!address) {
        problem = NotAnAddress(part);
        break;
      }
      out->push_back(*address);
    }
    return problem;
  };
  return {std::move(name), std::string(kAddressPlaceholder) + ",...",
          std::move(description), std::move(default_value), std::move(apply)};
}

}  // namespace fireflytrestle
