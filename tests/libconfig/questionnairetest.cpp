#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <tuple>

#include "libbase/fault.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationgenerator.h"
#include "libconfig/questionnairereader.h"

namespace fireflytrestle {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(FIREFLYTRESTLE_SOURCE_DIR) + "/examples/" +
                     name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the configuration generated from a questionnaire, or its faults.
std::pair<std::optional<Configuration>, std::vector<Fault>> Generate(
    const std::string& text) {
  std::vector<Fault> faults;
  std::optional<Configuration> configuration = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Configuration>> {
        BOOST_LEAF_AUTO(answers, ReadQuestionnaire("q.yaml", text));
        BOOST_LEAF_AUTO(generated, GenerateConfiguration(answers, nullptr));
        return generated;
      },
      [&faults](const std::vector<Fault>& found) {
        faults = found;
        return std::optional<Configuration>();
      },
      [] { return std::optional<Configuration>(); });
  return {configuration, faults};
}

Configuration ReadBack(const Configuration& configuration) {
  const auto read = [&]() -> boost::leaf::result<Configuration> {
    BOOST_LEAF_AUTO(document,
                    ReadDocument(WriteDocument(ToDocument(configuration))));
    return FromDocument(document);
  };
  return boost::leaf::try_handle_all(read, [] { return Configuration(); });
}

/// Generates random answers with up to 4 zones and 3 services. They share a few
/// names, so that objects disappear and return between calls.
Questionnaire DrawAnswers() {
  Questionnaire answers;
  const auto draw = [](int to) { return *rc::gen::inRange(0, to); };
  for (const char* zone : {"a", "b", "c", "d"}) {
    if (zone[0] == 'a' || draw(3) != 0) {
      answers.zones.push_back({zone, "r"});
    }
  }
  for (std::uint16_t i = 1; i <= 3; ++i) {
    if (draw(3) == 0) {
      continue;
    }
    Questionnaire::Service service;
    service.name = "service-" + std::to_string(i);
    service.address = {1, i};
    for (std::uint16_t port = 1; port <= 4; ++port) {
      if (draw(2) == 0) {
        const auto zone = static_cast<std::size_t>(
            draw(static_cast<int>(answers.zones.size())));
        service.targets.push_back({answers.zones[zone].name,
                                   {i, port},
                                   3,
                                   2000,
                                   1,
                                   20,
                                   std::chrono::seconds(20)});
      }
    }
    answers.services.push_back(service);
  }
  return answers;
}

}  // namespace

TEST_CASE("the examples always give the same site, as in the design page") {
  for (const char* name : {"tesfaye.yaml", "sundarban.yaml"}) {
    CAPTURE(name);
    const std::string text = ReadExample(name);
    const auto [configuration, faults] = Generate(text);
    REQUIRE(configuration);
    CHECK(configuration->zones.size() == 4);
    CHECK(configuration->services.size() == 2);
    CHECK(configuration->targets.size() == 11);
    CHECK(ReadBack(*configuration) == *configuration);
    CHECK(WriteDocument(ToDocument(*Generate(text).first)) ==
          WriteDocument(ToDocument(*configuration)));
  }
}

TEST_CASE("every fault of a questionnaire is reported in one run") {
  const auto [configuration, faults] = Generate(R"(site: "a/b"
colour: blue
regions:
  - name: r
    zones: [z, y, z]
  - name: r
    zones: []
services:
  - name: s
    address: localhost:80
    requests:
      - {name: watch, kind: feed, may_be_repeated: no}
      - {name: watch, kind: poem, may_be_repeated: maybe}
      - name: pay
        kind: order
    each_target: {slots: "2,000", slots: 3}
    peak: many
    targets:
      - {zone: x, agent: 10.0.0.1:1, connections: 0}
      - {zone: z, agent: 10.0.0.1:1, cold_requests_at_once: 2, connections: 1}
      - oops
  - name: s
    address: 10.0.0.1:1
    requests: none
)");
  CHECK_FALSE(configuration);
  std::string found;
  for (const Fault& fault : faults) {
    found += fault.source.substr(7) + "\n";
    CHECK_FALSE(fault.problem.empty());
    CHECK_FALSE(fault.remedy.empty());
  }
  // Line and question of each fault, in the order in which they are reported.
  CHECK(found == R"(2: "colour"
1: site
5: region r, zones
6: region 2, name
7: region 2, zones
10: service s, address
12: service s, request 1, may_be_repeated
13: service s, request 2, name
13: service s, request 2, kind
13: service s, request 2, may_be_repeated
14: service s, request 3, may_be_repeated
17: service s, peak
16: service s, each_target, slots
16: service s, each_target, slots
19: service s, target 1, zone
19: service s, target 1, connections
20: service s, target 2, agent
20: service s, target 2, cold_requests_at_once
21: service s, target 3
22: service s, name
23: service s, address
24: service s, requests
22: service s, targets
)");
}

TEST_CASE("remaining objects keep their ids and ids are never reused") {
  // Guards against a flow token or an agent setting that refers to a different
  // object in a later revision.
  const bool passed = rc::check([] {
    std::map<ZoneId, std::string> zones;
    std::map<ServiceId, std::string> services;
    std::map<TargetId, std::tuple<ServiceId, ZoneId, SocketAddress>> targets;
    std::optional<Configuration> base;
    for (int revision = 1; revision <= 8; ++revision) {
      const Questionnaire answers = DrawAnswers();
      const Configuration next = boost::leaf::try_handle_all(
          [&] {
            return GenerateConfiguration(answers, base ? &*base : nullptr);
          },
          []() -> Configuration { RC_FAIL("refused"); });
      RC_ASSERT(next.revision ==
                Revision{static_cast<std::uint64_t>(revision)});
      RC_ASSERT(ReadBack(next) == next);
      for (const ZoneSettings& each : next.zones) {
        RC_ASSERT(zones.emplace(each.id, each.name).first->second == each.name);
        RC_ASSERT(each.out ==
                  (base && std::ranges::count(base->zones, each.id,
                                              &ZoneSettings::id) != 0));
      }
      for (const ServiceSettings& each : next.services) {
        RC_ASSERT(services.emplace(each.id, each.name).first->second ==
                  each.name);
      }
      for (const TargetSettings& each : next.targets) {
        const std::tuple key(each.service, each.zone, each.agent);
        RC_ASSERT(targets.emplace(each.id, key).first->second == key);
      }
      for (const auto& old : base ? base->targets : next.targets) {
        const bool remains =
            std::ranges::count(next.zones, old.zone, &ZoneSettings::id) != 0 &&
            std::ranges::any_of(next.targets, [&](const auto& each) {
              return std::tie(each.service, each.zone, each.agent) ==
                     std::tie(old.service, old.zone, old.agent);
            });
        RC_ASSERT((!remains || std::ranges::count(next.targets, old.id,
                                                  &TargetSettings::id) == 1));
      }
      base = next;
      for (ZoneSettings& zone : base->zones) {
        zone.out = true;
      }
    }
  });
  CHECK(passed);
}

TEST_CASE("a mutated questionnaire fails or gives a valid configuration") {
  // Guards against a crash, and against generating a configuration that cannot
  // be read back.
  const std::string example = ReadExample("tesfaye.yaml");
  REQUIRE_FALSE(example.empty());
  const bool passed = rc::check([&example] {
    std::string text = example;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 60);
      text.replace(position, length,
                   *rc::gen::element<std::string>(
                       "", " ", "\n", ":", "-", "[", "}", "&a ", "*a", "\"",
                       "\t", "\xff", "!!", "? ", "| ", "%", "0",
                       text.substr(position / 2, length)));
    }
    const auto [configuration, faults] = Generate(text);
    RC_ASSERT(configuration.has_value() == faults.empty());
    // RC_ASSERT without the inner parentheses evaluates both sides of ||.
    RC_ASSERT((!configuration || ReadBack(*configuration) == *configuration));
  });
  CHECK(passed);
}

TEST_CASE("input that is not a questionnaire is rejected with a fault") {
  for (const std::string& text :
       {std::string(), std::string("[]"),
        ReadExample("tesfaye.yaml") + std::string(1'000'000, '\n'),
        std::string(100'000, '['), std::string("site: a\n---\nsite: b\n"),
        ReadExample("tesfaye.yaml") + "---\nsite: b\n",
        std::string("site: &a b\nregions: *a\n"),
        std::string("\x7f"
                    "ELF\0\x01",
                    6)}) {
    CHECK(Generate(text).second.size() >= 1);
  }
  // Guards against a small file that expands to an unbounded number of targets.
  const auto [configuration, faults] = Generate(
      "site: a\nregions: [{name: r, zones: [z]}]\nservices:\n"
      "  - {name: s, address: 1.1.1.1:1, requests: [{name: q, kind: order, "
      "may_be_repeated: no}], targets: &t [{zone: z, agent: 1.1.1.1:2, slots: "
      "1, "
      "connections: 1}]}\n"
      "  - {name: u, address: 1.1.1.1:3, requests: [{name: q, kind: order, "
      "may_be_repeated: no}], targets: *t}\n");
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].problem.find("with *") != std::string::npos);
}

}  // namespace fireflytrestle
