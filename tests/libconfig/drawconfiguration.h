#ifndef FIREFLYTRESTLE_TESTS_LIBCONFIG_DRAWCONFIGURATION_H_
#define FIREFLYTRESTLE_TESTS_LIBCONFIG_DRAWCONFIGURATION_H_

#include <rapidcheck.h>

#include <string>

#include "libconfig/configuration.h"

namespace fireflytrestle {

/// Generates a random valid configuration with up to 5 zones, 4 services and 12
/// targets, in order of their ids.
inline Configuration DrawConfiguration() {
  const auto draw = [](int from, int to) {
    return static_cast<std::uint32_t>(*rc::gen::inRange(from, to));
  };
  Configuration configuration;
  configuration.revision = Revision{draw(1, 1000)};
  const std::uint32_t zones = draw(1, 6);
  for (std::uint32_t i = 1; i <= zones; ++i) {
    configuration.zones.push_back(
        {ZoneId{static_cast<std::uint16_t>(i * 3)}, "zone " + std::to_string(i),
         "region-" + std::to_string(draw(0, 2)), draw(0, 2) == 1});
  }
  const std::uint32_t services = draw(1, 5);
  for (std::uint32_t i = 1; i <= services; ++i) {
    ServiceSettings service{ServiceId{i * 7},
                            "service-" + std::to_string(i),
                            SocketAddress{draw(1, 9000), 80},
                            {},
                            draw(0, 50),
                            draw(0, 50)};
    service.address.port = static_cast<std::uint16_t>(i);
    for (std::uint32_t type = 0; type < draw(0, 4); ++type) {
      service.request_types.push_back({"type " + std::to_string(type),
                                       static_cast<RequestKind>(draw(1, 4)),
                                       draw(0, 2) == 1});
    }
    configuration.services.push_back(service);
  }
  for (std::uint32_t i = 1; i <= draw(0, 13); ++i) {
    const std::uint32_t slots = draw(1, 100);
    configuration.targets.push_back(
        {TargetId{i * 5},
         ServiceId{7 * draw(1, static_cast<int>(services) + 1)},
         ZoneId{static_cast<std::uint16_t>(
             3 * draw(1, static_cast<int>(zones) + 1))},
         SocketAddress{draw(1, 9000), static_cast<std::uint16_t>(i)}, slots,
         draw(1, 100000), draw(1, static_cast<int>(slots) + 1), draw(1, 1000),
         std::chrono::milliseconds(draw(1, 3600000))});
  }
  if (draw(0, 2) == 1) {
    configuration.next_ids = {ZoneId{100}, ServiceId{200}, TargetId{300}};
  }
  return configuration;
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBCONFIG_DRAWCONFIGURATION_H_
