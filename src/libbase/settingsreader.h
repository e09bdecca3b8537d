#ifndef FIREFLYTRESTLE_LIBBASE_SETTINGSREADER_H_
#define FIREFLYTRESTLE_LIBBASE_SETTINGSREADER_H_

#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libbase/fault.h"
#include "libbase/setting.h"

namespace fireflytrestle {

/// Returns the value of an environment variable, or null if it is not set.
using EnvironmentLookup = std::function<const char*(const char* variable)>;

/// \brief Reads the settings of a program from its flags and the environment.
///
/// A flag takes precedence over the environment variable, which takes
/// precedence over the default.
class SettingsReader {
 public:
  enum class Mode { kRun, kHelp, kVersion, kCheckSettings };

  struct Result {
    Mode mode = Mode::kRun;
    /// All faults: first those of flags that are unknown or without a value and
    /// of arguments that are not flags, then those of settings in the order of
    /// the table.
    std::vector<Fault> faults;
  };

  SettingsReader(std::string program,
                 std::string version,
                 std::vector<Setting> table);

  /// Reads and applies all settings; only valid values are stored. Applies none
  /// in the modes kHelp and kVersion.
  Result Read(int argc,
              const char* const* argv,
              const EnvironmentLookup& environment) const;

  /// Calls Read() with the process environment, and prints faults and the
  /// output of --help, --version and --check-settings to the standard streams.
  /// Returns the exit code if the program must end: 0, or 2 for invalid
  /// settings.
  std::optional<int> ReadOrExitCode(int argc, const char* const* argv) const;

  void PrintHelp(std::FILE* out) const;

 private:
  using Values = std::map<std::string, std::string>;

  Values ReadFlags(int argc, const char* const* argv, Result* result) const;
  void Apply(const Setting& setting,
             const Values& flags,
             const EnvironmentLookup& environment,
             std::vector<Fault>* faults) const;

  std::string m_program;
  std::string m_version;
  std::vector<Setting> m_table;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_SETTINGSREADER_H_
