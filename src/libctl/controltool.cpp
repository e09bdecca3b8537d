#include "libctl/controltool.h"

#include <sys/stat.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <cstdint>
#include <map>
#include <ostream>
#include <utility>

#include "libbase/errorcode.h"
#include "libbase/fault.h"
#include "libconfig/configuration.h"
#include "libconfig/configurationchange.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationgenerator.h"
#include "libconfig/questionnaire.h"
#include "libconfig/questionnairereader.h"
#include "libctl/checkcommand.h"
#include "libctl/commandline.h"
#include "libctl/textfile.h"

namespace fireflytrestle {
namespace {

std::uint64_t ToNumber(Revision revision) {
  return static_cast<std::uint64_t>(revision);
}

auto MakeError(ErrorCode code,
               std::string source,
               std::string problem,
               std::string remedy) {
  return boost::leaf::new_error(
      code, std::vector<Fault>{
                {std::move(source), std::move(problem), std::move(remedy)}});
}

/// Reads a published configuration; the source of each fault includes the file
/// name.
boost::leaf::result<Configuration> ReadConfiguration(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadTextFile(path));
  return boost::leaf::try_handle_some(
      [&text]() -> boost::leaf::result<Configuration> {
        BOOST_LEAF_AUTO(document, ReadDocument(text));
        return FromDocument(document);
      },
      // Returns the same error id: LEAF loses the objects of a new error if
      // they have the types of those of the error being handled.
      [&path](const boost::leaf::error_info& error, std::vector<Fault>& faults)
          -> boost::leaf::result<Configuration> {
        for (Fault& fault : faults) {
          fault.source = path + ": " + fault.source;
        }
        return error.error();
      });
}

boost::leaf::result<Questionnaire> ReadAnswers(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadTextFile(path));
  return ReadQuestionnaire(path, text);
}

std::string OptionValue(const CommandLine& line, const char* option) {
  const auto found = line.values.find(option);
  return found == line.values.end() ? "" : found->second;
}

std::string FormatCount(std::uint64_t number, const char* what) {
  std::string text = std::to_string(number);
  return text.append(" ").append(what).append(number == 1 ? "" : "s");
}

}  // namespace

ControlTool::ControlTool(std::string version,
                         std::ostream* output,
                         std::ostream* errors,
                         ConfigurationFileReader reader)
    : m_version(std::move(version)),
      m_output(output),
      m_errors(errors),
      m_reader(std::move(reader)) {}

int ControlTool::Run(const std::vector<std::string>& arguments) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(line, ParseCommandLine(arguments));
        return RunCommand(line);
      },
      [this](const std::vector<Fault>& faults) -> int {
        for (const Fault& fault : faults) {
          PrintFault(fault);
        }
        return kInvalidInput;
      },
      [this]() -> int {
        PrintFault({"internal error", "an error without details occurred",
                    "report it with the command line"});
        return kRuntimeFailure;
      });
}

boost::leaf::result<int> ControlTool::RunCommand(const CommandLine& line) {
  if (line.help) {
    *m_output << HelpText();
    return kSuccess;
  }
  if (line.version) {
    PrintLine(m_output, "fireflytrestle-ctl " + m_version);
    return kSuccess;
  }
  if (line.command == "check") {
    return line.file.empty() ? CheckAnswers(line) : CheckFile(line);
  }
  if (line.command == "generate") {
    return Generate(line);
  }
  if (line.command == "diff") {
    return Diff(line);
  }
  if (line.command == "show") {
    return Show(line);
  }
  return SetZoneOut(line, line.command == "zone-out");
}

boost::leaf::result<int> ControlTool::CheckAnswers(const CommandLine& line) {
  const std::string path = OptionValue(line, "questionnaire");
  BOOST_LEAF_AUTO(answers, ReadAnswers(path));
  BOOST_LEAF_AUTO(configuration, GenerateConfiguration(answers, nullptr));
  WarnOfCapacity(configuration);
  WarnOfReserve(configuration);
  PrintLine(m_output,
            path + ": no faults; " + answers.site + " has " +
                FormatCount(configuration.zones.size(), "zone") + ", " +
                FormatCount(configuration.services.size(), "service") +
                " and " + FormatCount(configuration.targets.size(), "target"));
  return kSuccess;
}

int ControlTool::CheckFile(const CommandLine& line) {
  CheckCommand check(m_reader, line.file, OptionValue(line, "against"));
  check.Run();
  const CheckReport& report = check.report();
  if (line.json) {
    *m_output << check.FormatJson();
  } else {
    for (const Fault& fault : report.errors) {
      PrintFault(fault);
    }
    for (const Fault& fault : report.warnings) {
      PrintFault(fault, "warning");
    }
    for (const std::string& each : check.FormatLines()) {
      PrintLine(m_output, each);
    }
  }
  if (!report.errors.empty()) {
    return kInvalidInput;
  }
  return line.strict && !report.warnings.empty() ? kWarnings : kSuccess;
}

boost::leaf::result<int> ControlTool::Generate(const CommandLine& line) {
  BOOST_LEAF_AUTO(answers, ReadAnswers(OptionValue(line, "questionnaire")));
  Configuration base;
  const std::string base_path = OptionValue(line, "base");
  if (!base_path.empty()) {
    BOOST_LEAF_ASSIGN(base, ReadConfiguration(base_path));
  }
  BOOST_LEAF_AUTO(
      configuration,
      GenerateConfiguration(answers, base_path.empty() ? nullptr : &base));
  const std::string revision_text = OptionValue(line, "revision");
  if (!revision_text.empty()) {
    std::uint64_t revision = 0;
    const char* end = revision_text.data() + revision_text.size();
    const auto [stop, error] =
        std::from_chars(revision_text.data(), end, revision);
    if (error != std::errc() || stop != end || revision == 0) {
      return MakeError(ErrorCode::kInvalidSetting, "--revision",
                       "it is not a whole number of at least 1",
                       "correct the number, or leave the option out");
    }
    if (revision <= ToNumber(base.revision)) {
      return MakeError(ErrorCode::kNotNewer, "--revision",
                       revision_text + " is not newer than revision " +
                           std::to_string(ToNumber(base.revision)) + " of " +
                           base_path,
                       "use a larger number, or leave the option out");
    }
    configuration.revision = Revision{revision};
  }
  const bool shares_services =
      base.services.empty() ||
      std::ranges::any_of(base.services, [&](const ServiceSettings& service) {
        return std::ranges::count(configuration.services, service.id,
                                  &ServiceSettings::id) != 0;
      });
  if (!shares_services) {
    PrintLine(m_errors, "fireflytrestle-ctl: warning: no service of " +
                            base_path + " remains; check that it belongs to " +
                            answers.site);
  }
  BOOST_LEAF_AUTO(
      code, WriteConfiguration(configuration, OptionValue(line, "output")));
  if (code == kSuccess) {
    WarnOfCapacity(configuration);
    WarnOfReserve(configuration);
    if (!base_path.empty()) {
      PrintLine(
          m_output,
          FormatCount(DescribeChanges(base, configuration).size(), "change") +
              " from revision " + std::to_string(ToNumber(base.revision)));
    }
  }
  return code;
}

boost::leaf::result<int> ControlTool::Diff(const CommandLine& line) {
  BOOST_LEAF_AUTO(answers, ReadAnswers(OptionValue(line, "questionnaire")));
  BOOST_LEAF_AUTO(base, ReadConfiguration(OptionValue(line, "base")));
  BOOST_LEAF_AUTO(configuration, GenerateConfiguration(answers, &base));
  const std::vector<std::string> changes = DescribeChanges(base, configuration);
  for (const std::string& change : changes) {
    PrintLine(m_output, change);
  }
  WarnOfCapacity(configuration);
  WarnOfReserve(configuration);
  PrintLine(m_output, FormatCount(changes.size(), "change") +
                          " from revision " +
                          std::to_string(ToNumber(base.revision)));
  return kSuccess;
}

boost::leaf::result<int> ControlTool::SetZoneOut(const CommandLine& line,
                                                 bool out) {
  BOOST_LEAF_AUTO(configuration, ReadConfiguration(OptionValue(line, "base")));
  const auto zone =
      std::ranges::find(configuration.zones, line.zone, &ZoneSettings::name);
  if (zone == configuration.zones.end()) {
    std::string known;
    for (const ZoneSettings& each : configuration.zones) {
      known += known.empty() ? each.name : ", " + each.name;
    }
    return MakeError(ErrorCode::kInvalidSetting, line.zone,
                     "there is no such availability zone",
                     "use one of: " + known);
  }
  if (zone->out == out) {
    return MakeError(
        ErrorCode::kInvalidSetting, line.zone,
        out ? "it is out already" : "it is in already",
        "nothing needs to be published; check that --base is the configuration "
        "in effect");
  }
  if (out) {
    for (const std::string& service :
         FindServicesOnlyIn(configuration, zone->id)) {
      if (!line.force) {
        return MakeError(
            ErrorCode::kInvalidSetting, line.zone,
            "it has the last targets of service " + service + " that are in",
            "bring another zone in first, or repeat with --force");
      }
      PrintLine(m_errors, "fireflytrestle-ctl: warning: service " + service +
                              " has no target left");
    }
  }
  zone->out = out;
  configuration.revision = Revision{ToNumber(configuration.revision) + 1};
  BOOST_LEAF_AUTO(
      code, WriteConfiguration(configuration, OptionValue(line, "output")));
  if (code == kSuccess) {
    WarnOfCapacity(configuration);
    const std::vector<ServiceCapacity> capacities =
        ComputeCapacity(configuration);
    for (std::size_t i = 0; i < capacities.size(); ++i) {
      PrintLine(m_output,
                "service " + configuration.services[i].name + " has " +
                    FormatCount(capacities[i].targets, "target") + ", " +
                    FormatCount(capacities[i].slots, "slot") + " and " +
                    FormatCount(capacities[i].connections, "connection"));
    }
  }
  return code;
}

boost::leaf::result<int> ControlTool::Show(const CommandLine& line) {
  BOOST_LEAF_AUTO(configuration, ReadConfiguration(OptionValue(line, "base")));
  PrintLine(m_output,
            "revision " + std::to_string(ToNumber(configuration.revision)));
  std::map<ZoneId, std::string> zones;
  for (const ZoneSettings& zone : configuration.zones) {
    zones.emplace(zone.id, zone.name);
    PrintLine(m_output, "zone " + zone.name + ": region " + zone.region +
                            (zone.out ? ", out" : ", in"));
  }
  const std::vector<ServiceCapacity> capacities =
      ComputeCapacity(configuration);
  std::map<ServiceId, std::string> services;
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    const ServiceSettings& service = configuration.services[i];
    services.emplace(service.id, service.name);
    PrintLine(m_output,
              "service " + service.name + ": address " +
                  ToString(service.address) +
                  ", in: " + FormatCount(capacities[i].targets, "target") +
                  ", " + FormatCount(capacities[i].slots, "slot") + ", " +
                  FormatCount(capacities[i].connections, "connection"));
  }
  for (const TargetSettings& target : configuration.targets) {
    PrintLine(
        m_output,
        "target " + std::to_string(static_cast<std::uint32_t>(target.id)) +
            ": service " + services[target.service] + ", zone " +
            zones[target.zone] + ", agent " + ToString(target.agent) +
            ", slots " + std::to_string(target.slots) + ", connections " +
            std::to_string(target.connections) + ", cold_requests_at_once " +
            std::to_string(target.cold_slots) + ", cold_new_flows_per_second " +
            std::to_string(target.cold_flows_per_second) + ", warm_up_ms " +
            std::to_string(target.warmup.count()));
  }
  return kSuccess;
}

boost::leaf::result<int> ControlTool::WriteConfiguration(
    const Configuration& configuration,
    const std::string& path) {
  const std::string text = WriteDocument(ToDocument(configuration));
  // The text is read back, so that an encoder bug cannot reach the fleet.
  const auto read_back = [&text]() -> boost::leaf::result<Configuration> {
    BOOST_LEAF_AUTO(document, ReadDocument(text));
    return FromDocument(document);
  };
  BOOST_LEAF_AUTO(read, read_back());
  if (read != configuration) {
    PrintFault({path, "the encoded configuration decodes to a different one",
                "report it with the input files; nothing was written"});
    return kRuntimeFailure;
  }
  struct stat status {};
  if (lstat(path.c_str(), &status) == 0) {
    BOOST_LEAF_AUTO(old_text, ReadTextFile(path));
    if (old_text == text) {
      PrintLine(m_output, path + " holds this configuration already");
      return kSuccess;
    }
    const Revision old_revision = boost::leaf::try_handle_all(
        [&old_text]() -> boost::leaf::result<Revision> {
          BOOST_LEAF_AUTO(document, ReadDocument(old_text));
          return document.revision;
        },
        [] { return Revision{}; });
    if (old_revision == Revision{}) {
      return MakeError(ErrorCode::kInvalidSetting, path,
                       "it exists and is not a published configuration",
                       "choose another name for --output");
    }
    if (old_revision >= configuration.revision) {
      return MakeError(ErrorCode::kNotNewer, path,
                       "revision " +
                           std::to_string(ToNumber(configuration.revision)) +
                           " is not newer than its revision " +
                           std::to_string(ToNumber(old_revision)),
                       "pass the configuration in effect as --base");
    }
  }
  if (const std::optional<Fault> fault = ReplaceTextFile(path, text)) {
    PrintFault(*fault);
    return kRuntimeFailure;
  }
  PrintLine(m_output, "wrote " + path + ": revision " +
                          std::to_string(ToNumber(configuration.revision)));
  return kSuccess;
}

void ControlTool::WarnOfCapacity(const Configuration& configuration) {
  const auto warn = [this](const std::string& text) {
    PrintLine(m_errors, "fireflytrestle-ctl: warning: " + text);
  };
  const std::vector<ServiceCapacity> capacities =
      ComputeCapacity(configuration);
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    const ServiceSettings& service = configuration.services[i];
    if (capacities[i].targets == 0) {
      warn("service " + service.name +
           ": no target is in a zone that is in; bring a zone in");
    } else if (service.peak_flows == 0) {
      warn("service " + service.name +
           ": its peak is not stated, so its capacity is not checked; answer "
           "peak in the questionnaire");
    }
  }
  for (const std::string& line : FindOverload(configuration)) {
    warn(line + "; add targets or bring a zone in");
  }
}

void ControlTool::WarnOfReserve(const Configuration& configuration) {
  for (const std::string& line : FindMissingReserve(configuration)) {
    PrintLine(m_errors, "fireflytrestle-ctl: warning: " + line +
                            "; add targets in other zones");
  }
}

void ControlTool::PrintFault(const Fault& fault, const char* severity) {
  PrintLine(m_errors, std::string("fireflytrestle-ctl: ") + severity + ": " +
                          fault.source + ": " + fault.problem + "; " +
                          fault.remedy);
}

void ControlTool::PrintLine(std::ostream* stream, const std::string& line) {
  // Names of files and zones come from the command line and may contain control
  // characters; they are replaced, so that each message is a single line.
  std::string printable = line;
  std::ranges::replace_if(
      printable, [](char c) { return (c >= 0 && c < ' ') || c == 0x7f; }, '?');
  *stream << printable << '\n';
}

}  // namespace fireflytrestle
