#include <QCoreApplication>

#include "balancer/balancerprocess.h"
#include "balancer/balancersettings.h"
#include "libbase/logger.h"
#include "libbase/settingsreader.h"
#include "libbase/steadyclock.h"
#include "libnet/programrunner.h"

int main(int argc, char** argv) {
  using namespace fireflytrestle;
  BalancerSettings settings;
  const SettingsReader reader("fireflytrestle-balancer", FIREFLYTRESTLE_VERSION,
                              MakeBalancerSettingsTable(&settings));
  if (const auto exit_code = reader.ReadOrExitCode(argc, argv)) {
    return *exit_code;
  }
  const SteadyClock clock;
  Logger logger(
      {"balancer",
       std::to_string(static_cast<std::uint64_t>(settings.process.instance_id)),
       settings.process.zone},
      Logger::StandardErrorOutput(settings.process.log_level), clock);
  const QCoreApplication application(argc, argv);
  return RunProgram(&logger, [&]() -> boost::leaf::result<void> {
    BalancerProcess process(settings, clock, &logger);
    BOOST_LEAF_CHECK(process.Start());
    QCoreApplication::exec();
    return {};
  });
}
