#ifndef FIREFLYTRESTLE_LIBCTL_CONTROLTOOL_H_
#define FIREFLYTRESTLE_LIBCTL_CONTROLTOOL_H_

#include <boost/leaf/result.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "libctl/configurationfilereader.h"

namespace fireflytrestle {

struct CommandLine;
struct Fault;

/// \brief Runs the commands of fireflytrestle-ctl. Reads and writes files,
/// prints results to one stream and warnings and errors to the other.
class ControlTool {
 public:
  enum ExitCode {
    kSuccess = 0,
    kRuntimeFailure = 1,
    /// Warnings of a check with --strict.
    kWarnings = 1,
    kInvalidInput = 2
  };

  /// \p reader reads the configurations to check.
  ControlTool(std::string version,
              std::ostream* output,
              std::ostream* errors,
              ConfigurationFileReader reader);

  /// Runs the program with \p arguments, which do not include its name, and
  /// returns the exit code.
  int Run(const std::vector<std::string>& arguments);

 private:
  boost::leaf::result<int> RunCommand(const CommandLine& line);
  boost::leaf::result<int> CheckAnswers(const CommandLine& line);
  int CheckFile(const CommandLine& line);
  boost::leaf::result<int> Generate(const CommandLine& line);
  boost::leaf::result<int> Diff(const CommandLine& line);
  boost::leaf::result<int> SetZoneOut(const CommandLine& line, bool out);
  boost::leaf::result<int> Show(const CommandLine& line);

  boost::leaf::result<int> WriteConfiguration(
      const Configuration& configuration,
      const std::string& path);
  void WarnOfCapacity(const Configuration& configuration);
  void WarnOfReserve(const Configuration& configuration);
  void PrintFault(const Fault& fault, const char* severity = "error");
  void PrintLine(std::ostream* stream, const std::string& line);

  std::string m_version;
  std::ostream* m_output;
  std::ostream* m_errors;
  ConfigurationFileReader m_reader;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CONTROLTOOL_H_
