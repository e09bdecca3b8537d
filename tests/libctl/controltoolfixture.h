#ifndef FIREFLYTRESTLE_TESTS_LIBCTL_CONTROLTOOLFIXTURE_H_
#define FIREFLYTRESTLE_TESTS_LIBCTL_CONTROLTOOLFIXTURE_H_

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "libctl/controltool.h"
#include "platform/platformrecorddecoder.h"

namespace fireflytrestle {

/// \brief Runs the tool on files in a temporary folder.
class ControlToolFixture {
 public:
  ControlToolFixture() {
    std::string name =
        (std::filesystem::temp_directory_path() / "ctlXXXXXX").string();
    m_folder = mkdtemp(name.data());
    Write("q.yaml", Read(FIREFLYTRESTLE_SOURCE_DIR "/examples/tesfaye.yaml"));
  }
  ~ControlToolFixture() { std::filesystem::remove_all(m_folder); }
  ControlToolFixture(const ControlToolFixture&) = delete;
  ControlToolFixture& operator=(const ControlToolFixture&) = delete;

  /// Runs one command line; words that start with @ name files in the folder.
  int Run(const std::string& command) {
    std::istringstream words(command);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) {
      arguments.push_back(word[0] == '@' ? Path(word.substr(1)) : word);
    }
    std::ostringstream out;
    std::ostringstream err;
    const int code =
        ControlTool("1.2.3", &out, &err,
                    {&m_decoder, PlatformRecordDecoder::kConfigurationKey})
            .Run(arguments);
    m_output = out.str();
    m_errors = err.str();
    return code;
  }

  std::string Path(const std::string& name) const {
    return m_folder + "/" + name;
  }
  std::string Read(const std::string& path) const {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  }
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(Path(name)) << text;
  }
  void Replace(const std::string& name,
               const std::string& from,
               const std::string& to) const {
    std::string text = Read(Path(name));
    REQUIRE(text.find(from) != std::string::npos);
    text.replace(text.find(from), from.size(), to);
    Write(name, text);
  }
  /// Returns whether the last run printed \p text to its error stream.
  bool Reported(const std::string& text) const {
    return m_errors.find(text) != std::string::npos;
  }
  /// Returns whether the last run printed \p text to its output stream.
  bool Printed(const std::string& text) const {
    return m_output.find(text) != std::string::npos;
  }
  const std::string& output() const { return m_output; }
  const std::string& errors() const { return m_errors; }

 private:
  PlatformRecordDecoder m_decoder;
  std::string m_folder;
  std::string m_output;
  std::string m_errors;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBCTL_CONTROLTOOLFIXTURE_H_
