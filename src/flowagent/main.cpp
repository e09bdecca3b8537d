#include <QCoreApplication>
#include <chrono>

#include "flowagent/flowagentprocess.h"
#include "flowagent/flowagentsettings.h"
#include "libbase/logger.h"
#include "libbase/settingsreader.h"
#include "libbase/steadyclock.h"
#include "libnet/flowlogging.h"
#include "libnet/programrunner.h"
#include "platform/platformpacketcodec.h"

int main(int argc, char** argv) {
  using namespace fireflytrestle;
  const auto started = std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now());
  FlowAgentSettings settings;
  const SettingsReader reader("fireflytrestle-flowagent",
                              FIREFLYTRESTLE_VERSION,
                              MakeFlowAgentSettingsTable(&settings));
  if (const auto exit_code = reader.ReadOrExitCode(argc, argv)) {
    return *exit_code;
  }
  const SteadyClock clock;
  Logger logger({"flowagent", settings.node.instance, settings.node.zone},
                Logger::NonBlockingStandardOutput(settings.node.log_level),
                clock, kFlowLogRateLimit);
  const QCoreApplication application(argc, argv);
  return RunProgram(&logger, [&]() -> boost::leaf::result<void> {
    const PlatformPacketCodec codec;
    FlowAgentProcess process(settings, started, codec, clock, &logger);
    BOOST_LEAF_CHECK(process.Start());
    QCoreApplication::exec();
    return {};
  });
}
