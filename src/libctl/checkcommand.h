#ifndef FIREFLYTRESTLE_LIBCTL_CHECKCOMMAND_H_
#define FIREFLYTRESTLE_LIBCTL_CHECKCOMMAND_H_

#include <string>
#include <vector>

#include "libctl/checkreport.h"
#include "libctl/configurationfilereader.h"

namespace fireflytrestle {

/// \brief Checks a file with a configuration, alone or against the one in
/// force.
class CheckCommand {
 public:
  /// Checks \p path. \p against is the file with the configuration in force, or
  /// empty.
  CheckCommand(ConfigurationFileReader reader,
               std::string path,
               std::string against);

  void Run();

  const CheckReport& report() const { return m_report; }

  /// Returns the lines for operators: one for each difference, and a summary.
  std::vector<std::string> FormatLines() const;

  /// Returns the result as one JSON object on one line.
  std::string FormatJson() const;

 private:
  /// Returns null if \p path cannot be decoded; its faults are then errors of
  /// the report.
  ConfigurationFileReader::ContentPtr Read(const std::string& path);

  void Compare(const ConfigurationFileReader::Content& from,
               const ConfigurationFileReader::Content& to);

  ConfigurationFileReader m_reader;
  std::string m_path;
  std::string m_against;
  CheckReport m_report;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_CHECKCOMMAND_H_
