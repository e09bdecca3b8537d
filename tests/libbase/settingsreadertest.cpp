#include "libbase/settingsreader.h"

#include <doctest/doctest.h>

#include <cstring>
#include <map>

namespace fireflytrestle {

namespace {

struct Values {
  std::string zone;
  std::uint64_t threads = 0;
  SocketAddress address;
};

SettingsReader MakeReader(Values* out) {
  return {
      "program",
      "1.0",
      {TextSetting("zone", "NAME", "Zone", std::nullopt, &out->zone),
       NumberSetting("traffic-threads", "Threads", "3", 1, 8,
                     [out](std::uint64_t number) { out->threads = number; }),
       AddressSetting("admin-address", "Address", &out->address)}};
}

SettingsReader::Result Read(Values* out,
                            std::vector<const char*> arguments,
                            const char* zone_variable = nullptr) {
  arguments.insert(arguments.begin(), "program");
  arguments.push_back(nullptr);
  return MakeReader(out).Read(
      static_cast<int>(arguments.size()) - 1, arguments.data(),
      [&](const char* name) {
        return std::strcmp(name, "FIREFLYTRESTLE_ZONE") == 0 ? zone_variable
                                                             : nullptr;
      });
}

}  // namespace

TEST_CASE("Flags override the environment, which overrides defaults") {
  // Guards against an environment variable that overrides an explicit flag.
  Values values;
  CHECK(Read(&values, {"--zone=bole", "--admin-address=127.0.0.1:80"}, "kality")
            .faults.empty());
  CHECK(values.zone == "bole");
  CHECK(values.threads == 3);
  Read(&values, {"--traffic-threads", "5"}, "kality");
  CHECK(values.zone == "kality");
  CHECK(values.threads == 5);
}

TEST_CASE("All faults are reported in one run, each with source and remedy") {
  // Guards against startup errors that are reported one per run.
  Values values;
  const auto result = Read(&values, {"--traffic-threads=9", "--unknown=1",
                                     "stray", "--admin-address=localhost"});
  std::vector<std::string> sources;
  for (const Fault& fault : result.faults) {
    sources.push_back(fault.source);
    CHECK_FALSE(fault.problem.empty());
    CHECK_FALSE(fault.remedy.empty());
  }
  CHECK(sources == std::vector<std::string>{"--unknown", "stray", "--zone",
                                            "--traffic-threads",
                                            "--admin-address"});
}

TEST_CASE(
    "Number settings reject fractions, values out of range and extra text") {
  // Guards against a value such as "30s" that is parsed as 30.
  for (const char* text :
       {"", "0", "9", "-1", "3s", " 3", "1e1", "18446744073709551617"}) {
    Values values;
    const std::string flag = std::string("--traffic-threads=") + text;
    const auto result = Read(
        &values, {flag.c_str(), "--zone=bole", "--admin-address=127.0.0.1:80"});
    CHECK(result.faults.size() == 1);
    CHECK(values.threads == 0);
  }
}

TEST_CASE(
    "Decimal settings accept numbers in range with or without a fraction") {
  for (const auto& [text, expected] :
       std::map<std::string, double>{{"5.2", 5.2},
                                     {"1000.0", 1000.0},
                                     {"10", 10.0},
                                     {"", 0.0},
                                     {"0.05", 0.0},
                                     {"10 Mbit", 0.0},
                                     {"nan", 0.0},
                                     {"-1", 0.0}}) {
    double value = 0.0;
    const Setting setting =
        DecimalSetting("rate", "Rate", std::nullopt, 0.1, 1e6,
                       [&](double number) { value = number; });
    const bool accepted = !setting.apply(text).has_value();
    CHECK(accepted == (expected > 0.0));
    CHECK(value == expected);
  }
}

}  // namespace fireflytrestle
