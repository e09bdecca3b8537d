#include "libctl/commandline.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <utility>

#include "libbase/errorcode.h"
#include "libbase/fault.h"

namespace fireflytrestle {
namespace {

constexpr const char* kSeeHelp = "see fireflytrestle-ctl --help";

enum OptionCode {
  kQuestionnaire = 1,
  kBase,
  kOutput,
  kRevision,
  kAgainst,
  kForce,
  kStrict,
  kJson,
  kHelp,
  kVersion
};

enum class Operand { kNone, kZone, kFile };

struct Command {
  const char* name;
  Operand operand;
  std::vector<const char*> required;
  std::vector<const char*> optional;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands{
      {"check", Operand::kNone, {"questionnaire"}, {}},
      {"generate",
       Operand::kNone,
       {"questionnaire", "output"},
       {"base", "revision"}},
      {"diff", Operand::kNone, {"questionnaire", "base"}, {}},
      {"zone-out", Operand::kZone, {"base", "output"}, {"force"}},
      {"zone-in", Operand::kZone, {"base", "output"}, {}},
      {"show", Operand::kNone, {"base"}, {}}};
  return commands;
}

/// The command "check" without --questionnaire.
const Command& CheckFileCommand() {
  static const Command command{
      "check", Operand::kFile, {}, {"against", "strict", "json"}};
  return command;
}

poptOption StringOption(const char* name, int code) {
  return {name, '\0', POPT_ARG_STRING, nullptr, code, nullptr, nullptr};
}

poptOption Flag(const char* name, int code) {
  return {name, '\0', POPT_ARG_NONE, nullptr, code, nullptr, nullptr};
}

/// \brief Parses the arguments and collects their faults.
class Parser {
 public:
  explicit Parser(const std::vector<std::string>& arguments) {
    m_arguments.reserve(arguments.size() + 2);
    m_arguments.push_back("fireflytrestle-ctl");
    for (const std::string& argument : arguments) {
      m_arguments.push_back(argument.c_str());
    }
    m_arguments.push_back(nullptr);
  }

  boost::leaf::result<CommandLine> Parse() {
    ReadOptions();
    if (m_faults.empty() && !m_line.help && !m_line.version) {
      ReadCommand();
    }
    if (!m_faults.empty()) {
      return boost::leaf::new_error(ErrorCode::kInvalidSetting,
                                    std::move(m_faults));
    }
    return std::move(m_line);
  }

 private:
  void AddFault(std::string source, std::string problem, std::string remedy) {
    m_faults.push_back(
        {std::move(source), std::move(problem), std::move(remedy)});
  }

  void ReadOptions() {
    const std::array options{
        StringOption("questionnaire", kQuestionnaire),
        StringOption("base", kBase),
        StringOption("output", kOutput),
        StringOption("revision", kRevision),
        StringOption("against", kAgainst),
        Flag("force", kForce),
        Flag("strict", kStrict),
        Flag("json", kJson),
        Flag("help", kHelp),
        Flag("version", kVersion),
        poptOption{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(m_arguments.size()) - 1,
                       m_arguments.data(), options.data(), 0),
        &poptFreeContext);
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) != -1) {
      if (code < -1) {
        AddFault(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(code), kSeeHelp);
        // popt cannot continue after an option without its value.
        if (code == POPT_ERROR_NOARG) {
          return;
        }
        continue;
      }
      const std::unique_ptr<char, decltype(&std::free)> value(
          poptGetOptArg(context.get()), &std::free);
      ReadOption(code, options[static_cast<std::size_t>(code) - 1].longName,
                 value.get());
    }
    const char** operands = poptGetArgs(context.get());
    for (; operands != nullptr && *operands != nullptr; ++operands) {
      m_operands.emplace_back(*operands);
    }
  }

  void ReadOption(int code, const char* name, const char* value) {
    if (value == nullptr) {
      m_line.force = m_line.force || code == kForce;
      m_line.strict = m_line.strict || code == kStrict;
      m_line.json = m_line.json || code == kJson;
      m_line.help = m_line.help || code == kHelp;
      m_line.version = m_line.version || code == kVersion;
    } else if (*value == '\0') {
      AddFault(std::string("--") + name, "its value is empty", kSeeHelp);
    } else if (!m_line.values.emplace(name, value).second) {
      AddFault(std::string("--") + name, "it is given twice", "give it once");
    }
  }

  void ReadCommand() {
    if (m_operands.empty()) {
      AddFault("command", "it is missing", kSeeHelp);
      return;
    }
    const auto found = std::ranges::find(
        Commands(), m_operands.front(),
        [](const Command& each) { return std::string(each.name); });
    if (found == Commands().end()) {
      AddFault(m_operands.front(), "it is not a command", kSeeHelp);
      return;
    }
    const bool checks_file = m_operands.front() == CheckFileCommand().name &&
                             !m_line.values.contains("questionnaire");
    const Command* command = checks_file ? &CheckFileCommand() : &*found;
    m_line.command = command->name;
    CheckOptions(*command);
    const std::size_t expected = command->operand == Operand::kNone ? 1 : 2;
    if (m_operands.size() < expected) {
      AddFault(m_line.command,
               command->operand == Operand::kZone
                   ? "the availability zone is missing"
                   : "the file, or --questionnaire, is missing",
               "state it after the command");
    }
    for (std::size_t i = expected; i < m_operands.size(); ++i) {
      AddFault(m_operands[i], "it is one argument too many", kSeeHelp);
    }
    if (m_operands.size() < expected || expected < 2) {
      return;
    }
    if (command->operand == Operand::kZone) {
      m_line.zone = m_operands[1];
    } else if (m_operands[1].empty()) {
      AddFault(m_line.command, "the name of the file is empty", kSeeHelp);
    } else {
      m_line.file = m_operands[1];
    }
  }

  void CheckOptions(const Command& command) {
    const auto contains = [](const std::vector<const char*>& names,
                             const std::string& name) {
      return std::ranges::find(names, name) != names.end();
    };
    for (const char* name : command.required) {
      if (!m_line.values.contains(name)) {
        AddFault(m_line.command, std::string("--") + name + " is missing",
                 kSeeHelp);
      }
    }
    std::vector<std::string> given;
    for (const auto& [name, value] : m_line.values) {
      given.push_back(name);
    }
    for (const auto& [name, is_given] :
         {std::pair("force", m_line.force), std::pair("strict", m_line.strict),
          std::pair("json", m_line.json)}) {
      if (is_given) {
        given.emplace_back(name);
      }
    }
    for (const std::string& name : given) {
      if (!contains(command.required, name) &&
          !contains(command.optional, name)) {
        AddFault(m_line.command, "it has no option --" + name, kSeeHelp);
      }
    }
  }

  std::vector<const char*> m_arguments;
  std::vector<std::string> m_operands;
  CommandLine m_line;
  std::vector<Fault> m_faults;
};

}  // namespace

boost::leaf::result<CommandLine> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  return Parser(arguments).Parse();
}

std::string HelpText() {
  return R"(Usage: fireflytrestle-ctl COMMAND [OPTION...]

Checks a questionnaire or a configuration, and writes the configuration to
publish. Publishes nothing itself.

Commands:
  check    --questionnaire FILE
           report all faults of a questionnaire
  check    FILE [--against CURRENT] [--strict] [--json]
           report all faults of a configuration before it is published, and
           what it changes for callers
  generate --questionnaire FILE [--base CURRENT] [--revision N] --output FILE
           write the configuration that follows from a questionnaire; CURRENT is
           the configuration in effect, needed for all but the first one
  diff     --questionnaire FILE --base CURRENT
           show what a revised questionnaire changes
  zone-out ZONE --base CURRENT --output FILE [--force]
           write the configuration that takes an availability zone out
  zone-in  ZONE --base CURRENT --output FILE
           write the configuration that brings an availability zone back
  show     --base CURRENT
           show a configuration with the ids of its targets

Options:
  --questionnaire FILE  answers of the team, see docs/questionnaire.md
  --base CURRENT        published configuration to start from
  --output FILE         file to write; it may be CURRENT
  --revision N          revision to write; default: the one after CURRENT
  --against CURRENT     configuration in force to compare with
  --strict              warnings alone end a check of FILE with code 1
  --json                print the check of FILE as one JSON object
  --force               take out the last zone with targets of a service
  --help                show this text
  --version             show the version

Exit codes: 0 success, 1 the output could not be written, 2 invalid input. A
check of FILE ends with 0 without errors, 1 with --strict and warnings only, and
2 with errors.
)";
}

}  // namespace fireflytrestle
