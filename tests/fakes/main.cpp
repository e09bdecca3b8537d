#include <popt.h>

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QTimer>
#include <algorithm>
#include <cstdio>

#include "fakes/scenario.h"
#include "fakes/site.h"

namespace fireflytrestle {
namespace {

constexpr std::chrono::milliseconds kReadyTimeout{10000};
constexpr std::chrono::milliseconds kIdleTimeout{8000};
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr int kDefaultSeconds = 20;
constexpr int kMaxSeconds = 22;
/// Scenario without steps, in which an operator changes the configuration file
/// during the run.
constexpr char kManualScenario[] = "manual";
constexpr int kMaxManualSeconds = 600;

struct Options {
  char* site = nullptr;
  char* scenario = nullptr;
  char* programs = nullptr;
  char* examples = nullptr;
  char* work = nullptr;
  int seconds = kDefaultSeconds;
  int seed = 20261204;
  int ignore_times = 0;
};

SiteParameters MakeParameters(const std::string& site, const Options& options) {
  SiteParameters parameters;
  const bool tesfaye = site == "tesfaye";
  parameters.name = site;
  parameters.order_service = tesfaye ? "counter" : "order-desk";
  parameters.document_service = tesfaye ? "ledger" : "pattern-house";
  parameters.base_port = tesfaye ? 20000 : 22000;
  parameters.caller_latency = std::chrono::milliseconds(tesfaye ? 3 : 1);
  parameters.questionnaire =
      QString(options.examples) + "/" + QString::fromStdString(site) + ".yaml";
  parameters.program_folder = options.programs;
  parameters.work_folder = options.work;
  return parameters;
}

/// Runs the event loop until \p done returns true or \p timeout has passed.
/// Returns false on timeout.
template <typename Done>
bool RunUntil(std::chrono::milliseconds timeout, Done done) {
  QElapsedTimer elapsed;
  elapsed.start();
  while (!done()) {
    if (elapsed.elapsed() > timeout.count()) {
      return false;
    }
    QEventLoop loop;
    QTimer::singleShot(kPollInterval, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return true;
}

int RunScenario(const Scenario& scenario, const Options& options) {
  QDir().mkpath(options.work);
  Site site(MakeParameters(options.site, options),
            static_cast<std::uint64_t>(options.seed));
  if (!site.Start() ||
      !RunUntil(kReadyTimeout, [&site] { return site.IsReady(); })) {
    std::fprintf(stderr, "the site did not become ready; see the logs in %s\n",
                 options.work);
    return 1;
  }
  site.StartCallers();
  const std::chrono::milliseconds duration(options.seconds * 1000);
  QObject owner;
  for (const ScenarioStep& step : scenario.steps) {
    QTimer::singleShot(
        static_cast<int>(step.at * static_cast<double>(duration.count())),
        &owner, [&site, &step] { step.run(site); });
  }
  RunUntil(duration, [&] {
    if (scenario.name == kManualScenario) {
      site.PublishFileIfChanged();
    }
    return false;
  });
  site.CloseCallers();
  RunUntil(kIdleTimeout, [&site] { return site.AreCallersIdle(); });
  const SiteResults results = site.Finish();
  std::printf("%s\n",
              results.ToJson(options.site, scenario.name).dump().c_str());
  const bool meets_time_limits =
      options.ignore_times != 0 || results.MeetsTimeLimits();
  return results.SatisfiesInvariants(scenario.flows_may_break) &&
                 meets_time_limits
             ? 0
             : 1;
}

int Main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  Options options;
  const poptOption table[] = {
      {"site", 0, POPT_ARG_STRING, &options.site, 0,
       "site to run: tesfaye or sundarban", "NAME"},
      {"scenario", 0, POPT_ARG_STRING, &options.scenario, 0,
       "what happens during the run", "NAME"},
      {"seconds", 0, POPT_ARG_INT, &options.seconds, 0,
       "length of the run, 5 to 22; up to 600 if manual", "N"},
      {"seed", 0, POPT_ARG_INT, &options.seed, 0, "seed of the fabric", "N"},
      {"ignore-times", 0, POPT_ARG_NONE, &options.ignore_times, 0,
       "report times, but pass on counts alone", nullptr},
      {"programs", 0, POPT_ARG_STRING, &options.programs, 0,
       "folder of the programs", "FOLDER"},
      {"examples", 0, POPT_ARG_STRING, &options.examples, 0,
       "folder of the questionnaires", "FOLDER"},
      {"work", 0, POPT_ARG_STRING, &options.work, 0,
       "folder for logs and the generated configuration", "FOLDER"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext(nullptr, argc, const_cast<const char**>(argv), table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const auto& scenarios = AllScenarios();
  const auto scenario = std::find_if(
      scenarios.begin(), scenarios.end(),
      [&options](const Scenario& candidate) {
        return candidate.name ==
               (options.scenario == nullptr ? "plain" : options.scenario);
      });
  const std::string site = options.site == nullptr ? "tesfaye" : options.site;
  const bool manual =
      scenario != scenarios.end() && scenario->name == kManualScenario;
  const int max_seconds = manual ? kMaxManualSeconds : kMaxSeconds;
  const bool valid = parsed == -1 && scenario != scenarios.end() &&
                     (site == "tesfaye" || site == "sundarban") &&
                     options.seconds >= 5 && options.seconds <= max_seconds &&
                     options.programs != nullptr &&
                     options.examples != nullptr && options.work != nullptr;
  if (!valid) {
    std::fprintf(stderr,
                 "unknown site or scenario, or seconds out of range; see "
                 "--help\nscenarios:");
    for (const Scenario& known : scenarios) {
      std::fprintf(stderr, " %s", known.name.c_str());
    }
    std::fprintf(stderr, "\n");
    return 2;
  }
  if (options.site == nullptr) {
    options.site = const_cast<char*>("tesfaye");
  }
  return RunScenario(*scenario, options);
}

}  // namespace
}  // namespace fireflytrestle

int main(int argc, char** argv) {
  return fireflytrestle::Main(argc, argv);
}
