#include "libbase/settingsreader.h"

#include <popt.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr int kHelpOption = 1;
constexpr int kVersionOption = 2;
constexpr int kCheckSettingsOption = 3;
constexpr int kFirstSettingOption = 4;
constexpr int kExitInvalidSettings = 2;

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

/// \brief Converts a table of settings to popt options, and owns the texts that
/// the options point to.
class OptionTable {
 public:
  explicit OptionTable(const std::vector<Setting>& table) {
    m_descriptions.reserve(table.size());
    int option = kFirstSettingOption;
    for (const Setting& setting : table) {
      m_descriptions.push_back(Describe(setting));
      m_options.push_back({setting.name.c_str(), '\0', POPT_ARG_STRING, nullptr,
                           option++, m_descriptions.back().c_str(),
                           setting.placeholder.c_str()});
    }
    AddFlag("check-settings", kCheckSettingsOption,
            "Check all settings and end");
    AddFlag("help", kHelpOption, "Show this help and end");
    AddFlag("version", kVersionOption, "Show the version and end");
    m_options.push_back(POPT_TABLEEND);
  }

  Context MakeContext(const std::string& program,
                      int argc,
                      const char* const* argv) const {
    // popt declares the elements of argv as non-const but does not modify them.
    Context context(poptGetContext(program.c_str(), argc,
                                   const_cast<const char**>(argv),
                                   m_options.data(), 0));
    poptSetOtherOptionHelp(context.get(), "[OPTION...]");
    return context;
  }

 private:
  static std::string Describe(const Setting& setting) {
    std::string text =
        setting.description + " [" + EnvironmentVariable(setting.name) + ", ";
    return text + (setting.default_value
                       ? "default \"" + *setting.default_value + "\"]"
                       : "required]");
  }

  void AddFlag(const char* name, int option, const char* description) {
    m_options.push_back(
        {name, '\0', POPT_ARG_NONE, nullptr, option, description, nullptr});
  }

  std::vector<std::string> m_descriptions;
  std::vector<poptOption> m_options;
};

/// Returns the flag that popt rejected, without its value, which may be a
/// secret after a misspelt flag name.
std::string BadFlag(poptContext context) {
  const std::string flag = poptBadOption(context, 0);
  return flag.substr(0, flag.find('='));
}

std::optional<SettingsReader::Mode> ModeOf(int option) {
  switch (option) {
    case kHelpOption:
      return SettingsReader::Mode::kHelp;
    case kVersionOption:
      return SettingsReader::Mode::kVersion;
    case kCheckSettingsOption:
      return SettingsReader::Mode::kCheckSettings;
    default:
      return std::nullopt;
  }
}

}  // namespace

SettingsReader::SettingsReader(std::string program,
                               std::string version,
                               std::vector<Setting> table)
    : m_program(std::move(program)),
      m_version(std::move(version)),
      m_table(std::move(table)) {}

SettingsReader::Values SettingsReader::ReadFlags(int argc,
                                                 const char* const* argv,
                                                 Result* result) const {
  Values values;
  const OptionTable options(m_table);
  const Context context = options.MakeContext(m_program, argc, argv);
  for (int option = poptGetNextOpt(context.get()); option != -1;
       option = poptGetNextOpt(context.get())) {
    if (option < 0) {
      result->faults.push_back({BadFlag(context.get()), poptStrerror(option),
                                "see --help for the settings"});
      continue;
    }
    if (const auto mode = ModeOf(option)) {
      result->mode = *mode;
      continue;
    }
    const std::unique_ptr<char, decltype(&std::free)> value(
        poptGetOptArg(context.get()), &std::free);
    const auto index = static_cast<std::size_t>(option - kFirstSettingOption);
    values[m_table[index].name] = value ? value.get() : "";
  }
  while (const char* argument = poptGetArg(context.get())) {
    result->faults.push_back(
        {argument, "is not a flag", "give each setting as --name=value"});
  }
  return values;
}

void SettingsReader::Apply(const Setting& setting,
                           const Values& flags,
                           const EnvironmentLookup& environment,
                           std::vector<Fault>* faults) const {
  const std::string variable = EnvironmentVariable(setting.name);
  std::string source = "--" + setting.name;
  std::optional<std::string> value = setting.default_value;
  if (const auto flag = flags.find(setting.name); flag != flags.end()) {
    value = flag->second;
  } else if (const char* text = environment(variable.c_str())) {
    source = variable;
    value = text;
  }
  if (!value) {
    faults->push_back({source, "is not set",
                       "give --" + setting.name + "=" + setting.placeholder +
                           " or " + variable});
    return;
  }
  if (const auto problem = setting.apply(*value)) {
    faults->push_back({source, problem->problem, problem->remedy});
  }
}

SettingsReader::Result SettingsReader::Read(
    int argc,
    const char* const* argv,
    const EnvironmentLookup& environment) const {
  Result result;
  const Values flags = ReadFlags(argc, argv, &result);
  if (result.mode == Mode::kHelp || result.mode == Mode::kVersion) {
    return result;
  }
  for (const Setting& setting : m_table) {
    Apply(setting, flags, environment, &result.faults);
  }
  return result;
}

std::optional<int> SettingsReader::ReadOrExitCode(
    int argc,
    const char* const* argv) const {
  const Result result =
      Read(argc, argv, [](const char* name) { return std::getenv(name); });
  if (result.mode == Mode::kHelp) {
    PrintHelp(stdout);
    return EXIT_SUCCESS;
  }
  if (result.mode == Mode::kVersion) {
    std::printf("%s %s\n", m_program.c_str(), m_version.c_str());
    return EXIT_SUCCESS;
  }
  for (const Fault& fault : result.faults) {
    std::fprintf(stderr, "%s: %s: %s; %s\n", m_program.c_str(),
                 fault.source.c_str(), fault.problem.c_str(),
                 fault.remedy.c_str());
  }
  if (!result.faults.empty()) {
    return kExitInvalidSettings;
  }
  if (result.mode == Mode::kCheckSettings) {
    std::printf("%s: all settings are valid\n", m_program.c_str());
    return EXIT_SUCCESS;
  }
  return std::nullopt;
}

void SettingsReader::PrintHelp(std::FILE* out) const {
  const OptionTable options(m_table);
  const char* argv[] = {m_program.c_str(), nullptr};
  const Context context = options.MakeContext(m_program, 1, argv);
  poptPrintHelp(context.get(), out, 0);
}

}  // namespace fireflytrestle
