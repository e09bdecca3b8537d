#include <QCoreApplication>

#include "flowbalancer/flowbalancerprocess.h"
#include "flowbalancer/flowbalancersettings.h"
#include "libbase/logger.h"
#include "libbase/settingsreader.h"
#include "libbase/steadyclock.h"
#include "libnet/flowlogging.h"
#include "libnet/programrunner.h"
#include "platform/platformpacketcodec.h"
#include "platform/platformrecorddecoder.h"
#include "platform/storehttpclient.h"

int main(int argc, char** argv) {
  using namespace fireflytrestle;
  FlowBalancerSettings settings;
  const SettingsReader reader("fireflytrestle-flowbalancer",
                              FIREFLYTRESTLE_VERSION,
                              MakeFlowBalancerSettingsTable(&settings));
  if (const auto exit_code = reader.ReadOrExitCode(argc, argv)) {
    return *exit_code;
  }
  const SteadyClock clock;
  Logger logger({"flowbalancer", settings.node.instance, settings.node.zone},
                Logger::NonBlockingStandardOutput(settings.node.log_level),
                clock, kFlowLogRateLimit);
  const QCoreApplication application(argc, argv);
  return RunProgram(&logger, [&]() -> boost::leaf::result<void> {
    StoreHttpClient store(settings.platform_address);
    const PlatformRecordDecoder decoder;
    const PlatformPacketCodec codec;
    FlowBalancerProcess process(settings,
                                {&store,
                                 &decoder,
                                 &codec,
                                 {PlatformRecordDecoder::kOperatorPrefix,
                                  PlatformRecordDecoder::kUpstreamPrefix}},
                                clock, &logger);
    BOOST_LEAF_CHECK(process.Start());
    QCoreApplication::exec();
    return {};
  });
}
