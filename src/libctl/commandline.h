#ifndef FIREFLYTRESTLE_LIBCTL_COMMANDLINE_H_
#define FIREFLYTRESTLE_LIBCTL_COMMANDLINE_H_

#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <vector>

namespace fireflytrestle {

/// \brief The parsed arguments of fireflytrestle-ctl.
struct CommandLine {
  /// Empty for --help and --version.
  std::string command;
  /// Availability zone for zone-out and zone-in; empty for other commands.
  std::string zone;
  /// Configuration to check; empty for other commands.
  std::string file;
  /// Maps the name of each option with a value, without dashes, to that value.
  std::map<std::string, std::string> values;
  bool force = false;
  bool strict = false;
  bool json = false;
  bool help = false;
  bool version = false;
};

/// Parses \p arguments, which do not include the name of the program. Fails
/// with ErrorCode::kInvalidSetting and a std::vector<Fault> with all faults.
boost::leaf::result<CommandLine> ParseCommandLine(
    const std::vector<std::string>& arguments);

/// Returns the text of --help.
std::string HelpText();

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_COMMANDLINE_H_
