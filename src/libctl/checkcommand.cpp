#include "libctl/checkcommand.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "libctl/configurationcheck.h"
#include "libctl/configurationcomparison.h"

namespace fireflytrestle {
namespace {

using Json = nlohmann::json;

Json ToJson(const std::vector<Fault>& faults) {
  Json json = Json::array();
  for (const Fault& fault : faults) {
    json.push_back({{"place", fault.source},
                    {"problem", fault.problem},
                    {"remedy", fault.remedy}});
  }
  return json;
}

std::string FormatCount(std::size_t number, const char* what) {
  std::string text = std::to_string(number);
  return text.append(" ").append(what).append(number == 1 ? "" : "s");
}

}  // namespace

CheckCommand::CheckCommand(ConfigurationFileReader reader,
                           std::string path,
                           std::string against)
    : m_reader(std::move(reader)),
      m_path(std::move(path)),
      m_against(std::move(against)) {}

void CheckCommand::Run() {
  const ConfigurationFileReader::ContentPtr content = Read(m_path);
  if (content) {
    std::visit([this](const auto& each) { CheckSettings(each, &m_report); },
               *content);
  }
  const ConfigurationFileReader::ContentPtr in_force =
      m_against.empty() ? nullptr : Read(m_against);
  if (in_force && content) {
    Compare(*in_force, *content);
  }
}

ConfigurationFileReader::ContentPtr CheckCommand::Read(
    const std::string& path) {
  using ContentPtr = ConfigurationFileReader::ContentPtr;
  return boost::leaf::try_handle_all(
      [&] { return m_reader.Read(path); },
      [this](const std::vector<Fault>& faults) -> ContentPtr {
        m_report.errors.insert(m_report.errors.end(), faults.begin(),
                               faults.end());
        return nullptr;
      },
      [this, &path]() -> ContentPtr {
        m_report.errors.push_back({path, "an error without details occurred",
                                   "report it with the file"});
        return nullptr;
      });
}

void CheckCommand::Compare(const ConfigurationFileReader::Content& from,
                           const ConfigurationFileReader::Content& to) {
  std::visit(
      [this]<typename From, typename To>(const From& a, const To& b) {
        if constexpr (std::is_same_v<From, To>) {
          CompareSettings(a, b, &m_report);
        } else {
          m_report.errors.push_back(
              {m_against, "it does not have the form of " + m_path,
               "name the configuration in force in the same form"});
        }
      },
      from, to);
}

std::vector<std::string> CheckCommand::FormatLines() const {
  std::vector<std::string> lines;
  for (const ConfigurationDifference& each : m_report.differences) {
    lines.push_back(each.subject + ": " + each.change + "; " + each.effect);
  }
  std::string text = m_path + ": " +
                     FormatCount(m_report.errors.size(), "error") + ", " +
                     FormatCount(m_report.warnings.size(), "warning");
  if (!m_against.empty()) {
    text += ", " + FormatCount(m_report.differences.size(), "difference") +
            " from " + m_against;
  }
  lines.push_back(std::move(text));
  return lines;
}

std::string CheckCommand::FormatJson() const {
  Json differences = Json::array();
  for (const ConfigurationDifference& each : m_report.differences) {
    differences.push_back({{"place", each.subject},
                           {"change", each.change},
                           {"effect", each.effect}});
  }
  const Json json{{"file", m_path},
                  {"against", m_against},
                  {"errors", ToJson(m_report.errors)},
                  {"warnings", ToJson(m_report.warnings)},
                  {"differences", std::move(differences)}};
  // File names may contain bytes that are not UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace fireflytrestle
