#ifndef FIREFLYTRESTLE_LIBBASE_SETTING_H_
#define FIREFLYTRESTLE_LIBBASE_SETTING_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief What is wrong with the value of a setting and how to correct it.
struct SettingProblem {
  std::string problem;
  std::string remedy;
};

/// \brief One setting of a program, given by a flag or an environment variable.
struct Setting {
  /// Name of the flag without dashes, such as "flow-keys".
  std::string name;
  /// Placeholder for the value in the help text, such as "ADDRESS:PORT".
  std::string placeholder;
  std::string description;
  /// Empty for a required setting.
  std::optional<std::string> default_value;
  /// Checks a value and stores it if it is valid. Returns the problem
  /// otherwise.
  std::function<std::optional<SettingProblem>(const std::string& value)> apply;
};

/// Returns the name of the environment variable of a setting, such as
/// FIREFLYTRESTLE_FLOW_KEYS for "flow-keys".
std::string EnvironmentVariable(const std::string& setting_name);

/// Splits a comma-separated list; an empty text has no elements.
std::vector<std::string> SplitList(const std::string& text);

// Each of the following functions returns a setting that stores its value in
// \p out, which must outlive it, or passes it to \p store.

/// Accepts any non-empty text.
Setting TextSetting(std::string name,
                    std::string placeholder,
                    std::string description,
                    std::optional<std::string> default_value,
                    std::string* out);

/// Accepts one of \p choices.
Setting ChoiceSetting(std::string name,
                      std::vector<std::string> choices,
                      std::string description,
                      std::optional<std::string> default_value,
                      std::string* out);

/// Accepts a whole number from \p min_value to \p max_value.
Setting NumberSetting(std::string name,
                      std::string description,
                      std::optional<std::string> default_value,
                      std::uint64_t min_value,
                      std::uint64_t max_value,
                      std::function<void(std::uint64_t)> store);

/// Accepts a decimal number, such as 5.2, from \p min_value to \p max_value.
Setting DecimalSetting(std::string name,
                       std::string description,
                       std::optional<std::string> default_value,
                       double min_value,
                       double max_value,
                       std::function<void(double)> store);

/// Accepts a whole number of milliseconds from 0 to \p max_value.
Setting MillisecondsSetting(std::string name,
                            std::string description,
                            std::optional<std::string> default_value,
                            std::chrono::milliseconds max_value,
                            std::chrono::milliseconds* out);

Setting AddressSetting(std::string name,
                       std::string description,
                       SocketAddress* out);

Setting AddressListSetting(std::string name,
                           std::string description,
                           std::optional<std::string> default_value,
                           std::vector<SocketAddress>* out);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_SETTING_H_
