#include "libnet/programrunner.h"

#include <spdlog/spdlog.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>

#include "libbase/fault.h"
#include "libbase/logger.h"

namespace fireflytrestle {

int RunProgram(Logger* logger,
               const std::function<boost::leaf::result<void>()>& body) {
  // Disables spdlog's default logger. Decision code writes warnings to it as
  // plain text, and the adapters log the same events as JSON.
  spdlog::set_level(spdlog::level::off);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(body());
        return EXIT_SUCCESS;
      },
      [&](const Fault& fault) {
        logger->Write(
            LogLevel::kError, "start_failed", fault.problem,
            {{LogKey::kSource, fault.source}, {LogKey::kRemedy, fault.remedy}});
        return EXIT_FAILURE;
      },
      [&] {
        logger->Write(LogLevel::kError, "start_failed",
                      "the process failed to start for an unknown reason");
        return EXIT_FAILURE;
      });
}

}  // namespace fireflytrestle
