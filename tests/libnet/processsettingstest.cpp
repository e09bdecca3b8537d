#include "libnet/processsettings.h"

#include <doctest/doctest.h>

namespace fireflytrestle {

TEST_CASE("Flow keys are parsed in order, and errors do not reveal them") {
  // Guards against keys parsed to wrong bytes and against secrets in logs.
  std::vector<FlowKey> keys;
  const Setting setting = FlowKeysSetting("flow-keys", "Keys", &keys);
  const std::string secret = "000102030405060708090a0b0c0d0eFF";
  CHECK_FALSE(setting.apply("15:" + secret + ",0:" + secret));
  REQUIRE(keys.size() == 2);
  CHECK(keys[0].number == 15);
  CHECK(keys[0].secret[1] == 1);
  CHECK(keys[0].secret[15] == 0xff);
  for (const std::string& text :
       {std::string(), secret, "16:" + secret, "1:" + secret + "0",
        "1:" + secret + ",1:" + secret, "1:+" + secret.substr(1),
        "-1:" + secret}) {
    const auto problem = setting.apply(text);
    REQUIRE(problem);
    CHECK(problem->problem.find(secret.substr(2, 8)) == std::string::npos);
  }
}

}  // namespace fireflytrestle
