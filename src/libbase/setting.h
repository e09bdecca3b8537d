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

/// \brief What is wrong with a value and how to correct it.
struct SettingProblem {
  std::string problem;
  std::string remedy;
};

/// \brief One setting of a program: a flag and an environment variable.
struct Setting {
  /// Name of the flag without dashes, such as "flow-keys".
  std::string name;
  /// Form of the value, such as "ADDRESS:PORT".
  std::string placeholder;
  std::string description;
  /// Empty for a setting that must be given.
  std::optional<std::string> default_value;
  /// Checks a value and stores it.
  std::function<std::optional<SettingProblem>(const std::string& value)> apply;
};

/// Returns the name of the environment variable of a setting:
/// FIREFLYTRESTLE_FLOW_KEYS for "flow-keys".
std::string EnvironmentVariable(const std::string& setting_name);

/// Splits a comma separated list; an empty text has no element.
std::vector<std::string> SplitList(const std::string& text);

// Each of the following makes a setting; \p out must outlive it.

/// Accepts any text that is not empty.
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

/// Accepts a whole number from \p least to \p most and gives it to \p store.
Setting NumberSetting(std::string name,
                      std::string description,
                      std::optional<std::string> default_value,
                      std::uint64_t min_value,
                      std::uint64_t max_value,
                      std::function<void(std::uint64_t)> store);

/// Accepts a decimal number such as 5.2 from \p least to \p most.
Setting DecimalSetting(std::string name,
                       std::string description,
                       std::optional<std::string> default_value,
                       double min_value,
                       double max_value,
                       std::function<void(double)> store);

/// Accepts a whole number of milliseconds from 0 to \p most.
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
