#include <popt.h>

#include <QCoreApplication>
#include <QDir>
#include <cstdio>

#include "soak/soakrun.h"
#include "soak/soaksite.h"

namespace fireflytrestle {
namespace {

/// Load of extended and planned runs: flows at each upstream, and orders that
/// wait at any agent that is paused.
constexpr std::size_t kFeedsPerAgent = 4;
constexpr int kExtendedOrdersPerSecond = 200;
/// Feeds at each upstream of a run with shortages: more than it can serve in
/// their time-out when its requests take 50 ms.
constexpr std::size_t kShortageFeedsPerAgent = 60;

struct Options {
  char* programs = nullptr;
  char* work = nullptr;
  int seed = 1;
  int seeds = 1;
  int seconds = 20;
  int balancers = 3;
  int agents = 5;
  int network = 30;
  int extended = 0;
  int planned = 0;
  int shortage = 0;
  int no_first_start = 0;
};

SoakRun::Faults SelectFaults(const Options& options) {
  if (options.planned != 0) {
    return SoakRun::Faults::kPlanned;
  }
  if (options.shortage != 0) {
    return SoakRun::Faults::kShortage;
  }
  return options.extended != 0 ? SoakRun::Faults::kExtended
                               : SoakRun::Faults::kBasic;
}

/// Returns whether the site became ready and no invariant was violated.
bool RunSeed(const Options& options, std::uint64_t seed) {
  const QString logs = QString(options.work) + "/" + QString::number(seed);
  QDir(logs).removeRecursively();
  QDir().mkpath(logs);
  SoakSite::Size size;
  size.balancers = static_cast<std::size_t>(options.balancers);
  size.agents = static_cast<std::size_t>(options.agents);
  size.is_planned_only = options.planned != 0;
  size.has_first_start_flag = options.no_first_start == 0;
  if (options.extended != 0 || options.planned != 0) {
    size.has_idle_feeds = true;
    size.feeds = kFeedsPerAgent * size.agents;
    size.orders_per_second = kExtendedOrdersPerSecond;
  }
  if (options.shortage != 0) {
    size.has_priorities = true;
    size.feeds = kShortageFeedsPerAgent * size.agents;
  }
  SoakSite site(size, seed, options.network, options.programs, logs);
  if (!site.Start()) {
    std::printf("seed %llu: the site did not become ready; see %s\n",
                static_cast<unsigned long long>(seed), qPrintable(logs));
    return false;
  }
  SoakRun run(&site, seed, SelectFaults(options));
  run.Run(std::chrono::seconds(options.seconds));
  std::printf("seed %llu: %s, violations %zu\n",
              static_cast<unsigned long long>(seed), site.Summary().c_str(),
              site.violations().size());
  if (!site.violations().empty()) {
    for (const std::string& line : run.history()) {
      std::printf("  %s\n", line.c_str());
    }
    for (const std::string& violation : site.violations()) {
      std::printf("  VIOLATION %s\n", violation.c_str());
    }
    std::printf("  logs: %s\n", qPrintable(logs));
  }
  std::fflush(stdout);
  return site.violations().empty();
}

int Main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  Options options;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &options.seed, 0, "first seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &options.seeds, 0, "number of seeds", "N"},
      {"seconds", 0, POPT_ARG_INT, &options.seconds, 0,
       "time of faults for each seed", "N"},
      {"balancers", 0, POPT_ARG_INT, &options.balancers, 0,
       "balancers, 1 to 40", "N"},
      {"agents", 0, POPT_ARG_INT, &options.agents, 0,
       "agents and upstreams, 2 to 150", "N"},
      {"network", 0, POPT_ARG_INT, &options.network, 0,
       "second byte of all addresses, 2 to 250", "N"},
      {"extended", 0, POPT_ARG_NONE, &options.extended, 0,
       "also stop processes in series, reuse addresses, write odd entries and "
       "cut off two readers of the store",
       nullptr},
      {"planned", 0, POPT_ARG_NONE, &options.planned, 0,
       "planned work only: restarts, reloads, changes of configuration, zones "
       "and upstreams; FLOW then holds without exception",
       nullptr},
      {"shortage", 0, POPT_ARG_NONE, &options.shortage, 0,
       "only times in which all upstreams are slow; orders then have to fail "
       "no more often than requests of lower priority",
       nullptr},
      {"no-first-start", 0, POPT_ARG_NONE, &options.no_first_start, 0,
       "do not pass --first-start to agents, for programs that lack it",
       nullptr},
      {"programs", 0, POPT_ARG_STRING, &options.programs, 0,
       "folder of the programs", "FOLDER"},
      {"work", 0, POPT_ARG_STRING, &options.work, 0, "folder for logs",
       "FOLDER"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext(nullptr, argc, const_cast<const char**>(argv), table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const auto within = [](int value, int min_value, int max_value) {
    return value >= min_value && value <= max_value;
  };
  if (parsed != -1 || options.programs == nullptr || options.work == nullptr ||
      !within(options.balancers, 1, 40) || !within(options.agents, 2, 150) ||
      !within(options.network, 2, 250) || !within(options.seconds, 1, 3600) ||
      options.seed < 0 || options.seeds < 1 ||
      options.extended + options.planned + options.shortage > 1) {
    std::fprintf(stderr,
                 "--programs and --work are needed, numbers must be in range, "
                 "--extended, --planned and --shortage exclude each other; see "
                 "--help\n");
    return 2;
  }
  int failed = 0;
  for (int i = 0; i < options.seeds; ++i) {
    failed +=
        RunSeed(options, static_cast<std::uint64_t>(options.seed + i)) ? 0 : 1;
  }
  std::printf("%d passed, %d failed\n", options.seeds - failed, failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fireflytrestle

int main(int argc, char** argv) {
  return fireflytrestle::Main(argc, argv);
}
