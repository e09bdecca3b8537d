#ifndef FIREFLYTRESTLE_TESTS_LIBSITE_TESTDECODER_H_
#define FIREFLYTRESTLE_TESTS_LIBSITE_TESTDECODER_H_

#include <boost/leaf/result.hpp>
#include <sstream>
#include <string>

#include "libsite/recorddecoder.h"

namespace fireflytrestle {

/// \brief Decodes the items that the tests use: "config" with a version and the
/// IPv4 addresses of its routes, "zone/NAME", and "up/NAME" with the number
/// that is its IPv4 address and a service. Configurations name the empty
/// service.
class TestDecoder : public RecordDecoder {
 public:
  boost::leaf::result<SiteRecord> Decode(
      const std::string& key,
      std::string_view value) const override {
    if (key == "config") {
      SiteConfiguration configuration;
      std::istringstream text{std::string(value)};
      text >> configuration.version;
      configuration.services[""] = {};
      for (std::uint32_t route = 0; text >> route;) {
        configuration.routes.emplace_back().address.ipv4 = route;
      }
      return SiteRecord(configuration);
    }
    if (key.starts_with("zone/")) {
      return SiteRecord(ZoneOut{key.substr(5)});
    }
    UpstreamEntry entry;
    entry.id = key.substr(3);
    // The number may be followed by a service.
    const std::size_t space = value.find(' ');
    entry.service = space == std::string_view::npos
                        ? std::string()
                        : std::string(value.substr(space + 1));
    entry.address = {static_cast<std::uint32_t>(std::stoul(std::string(value))),
                     1};
    return SiteRecord(entry);
  }
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBSITE_TESTDECODER_H_
