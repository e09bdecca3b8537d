#ifndef FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIRE_H_
#define FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIRE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/requestkind.h"
#include "libbase/socketaddress.h"
#include "libconfig/configuration.h"

namespace fireflytrestle {

/// \brief A decoded questionnaire, in which a team describes its site; the
/// answers are in the order of the file. docs/questionnaire.md describes the
/// questions.
struct Questionnaire {
  struct Zone {
    std::string name;
    std::string region;
  };

  struct Target {
    std::string zone;
    SocketAddress agent;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t cold_slots = 0;
    std::uint32_t cold_flows_per_second = 0;
    std::chrono::milliseconds warmup{0};
  };

  struct Service {
    std::string name;
    SocketAddress address;
    std::vector<RequestType> request_types;
    std::uint32_t peak_flows = 0;
    std::uint32_t peak_requests = 0;
    std::vector<Target> targets;
  };

  std::string site;
  std::vector<Zone> zones;
  std::vector<Service> services;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIRE_H_
