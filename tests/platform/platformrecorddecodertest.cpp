#include "platform/platformrecorddecoder.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <string>

#include "libbase/fault.h"
#include "platform/storehttpclient.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

const std::string kEntry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"merkato",)"
    R"("version":"v1","concurrency_limit":3,"state":"ready",)"
    R"("cold_left_ms":1200,"seq":4,"born":1767225600000})";
const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1",)"
    R"("prefix":"/8080/","kind":"unsafe","timeout_ms":1000,"slo_ms":150,)"
    R"("priority":1,"service":"huvo11a"},{"name":"b","host":"198.18.0.1",)"
    R"("prefix":"/8443/","kind":"safe","timeout_ms":800,"slo_ms":120,)"
    R"("backends":[{"service":"huvo11a","weight":90},)"
    R"({"service":"wuno96b","weight":10}]}],"services":[{"name":"huvo11a",)"
    R"("max_conns":2000,"cold_s":2.0,"cold_per_s":12.5}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

/// Returns the decoded record, or monostate and the error text in \p problem.
SiteRecord Decode(const std::string& key,
                  const std::string& value,
                  std::string* problem = nullptr) {
  return boost::leaf::try_handle_all(
      [&] { return PlatformRecordDecoder().Decode(key, value); },
      [&](const Fault& fault) {
        if (problem != nullptr) {
          *problem = fault.source + ": " + fault.problem;
        }
        return SiteRecord();
      },
      [] { return SiteRecord(); });
}

}  // namespace

TEST_CASE("the entry of an upstream is decoded") {
  const SiteRecord record = Decode("servers/i-1", kEntry);
  const auto* entry = std::get_if<UpstreamEntry>(&record);
  REQUIRE(entry != nullptr);
  CHECK(entry->id == "i-1");
  CHECK(entry->service == "huvo11a");
  CHECK(entry->zone == "merkato");
  CHECK(ToString(entry->address) == "10.128.0.9:8080");
  CHECK(entry->slots == 3);
  CHECK_FALSE(entry->draining);
  CHECK(entry->cold_left == milliseconds(1200));
  CHECK(entry->started_unix_ms == 1767225600000);
}

TEST_CASE("a configuration is decoded") {
  const SiteRecord record = Decode("op/config", kConfiguration);
  const auto* configuration = std::get_if<SiteConfiguration>(&record);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->version == 7);
  REQUIRE(configuration->routes.size() == 2);
  const RouteSettings& order = configuration->routes[0];
  CHECK(ToString(order.address) == "198.18.0.1:8080");
  CHECK_FALSE(order.idempotent);
  CHECK_FALSE(order.long_lived);
  CHECK(order.timeout == milliseconds(1000));
  CHECK(order.latency_objective == milliseconds(150));
  CHECK(order.priority == 1);
  CHECK(configuration->routes[1].priority == kDefaultPriority);
  CHECK(order.services == std::vector<WeightedService>{{"huvo11a", 1}});
  CHECK(configuration->routes[1].idempotent);
  CHECK(configuration->routes[1].services.size() == 2);
  CHECK(configuration->services.at("huvo11a").cold_rate == 12.5);
  CHECK(configuration->flow_idle_timeout == milliseconds(15000));
}

TEST_CASE("a priority out of range is reported and takes its default") {
  for (const char* priority : {"10", "-1", "\"high\"", "null"}) {
    std::string changed = kConfiguration;
    changed.replace(changed.find("\"priority\":1") + 11, 1, priority);
    const SiteRecord record = Decode("op/config", changed);
    const auto* configuration = std::get_if<SiteConfiguration>(&record);
    REQUIRE(configuration != nullptr);
    CHECK(configuration->routes.at(0).priority == kDefaultPriority);
    REQUIRE(configuration->problems.size() == 1);
    CHECK(configuration->problems[0].problem.find("198.18.0.1:8080") !=
          std::string::npos);
  }
}

TEST_CASE("a number out of range is reported and takes its default") {
  // Guards against a limit that counts as missing without a report.
  const std::vector<std::pair<std::string, std::string>> cases{
      {"\"timeout_ms\":1000", "\"timeout_ms\":-1"},
      {"\"slo_ms\":150", "\"slo_ms\":\"150\""},
      {"\"weight\":90", "\"weight\":1000001"},
      {"\"max_conns\":2000", "\"max_conns\":null"},
      {"\"cold_s\":2.0", "\"cold_s\":-2"},
      {"\"cold_per_s\":12.5", "\"cold_per_s\":\"fast\""},
      {"15000", "86400001"}};
  for (const auto& [from, to] : cases) {
    CAPTURE(to);
    std::string changed = kConfiguration;
    changed.replace(changed.find(from), from.size(), to);
    const SiteRecord record = Decode("op/config", changed);
    const auto* configuration = std::get_if<SiteConfiguration>(&record);
    REQUIRE(configuration != nullptr);
    CHECK(configuration->problems.size() == 1);
  }
}

TEST_CASE("a service with the name of an earlier one is reported") {
  // Guards against limits that are published and never used.
  std::string changed = kConfiguration;
  const std::string services = "\"services\":[";
  changed.replace(changed.find(services), services.size(),
                  services + R"({"name":"huvo11a","max_conns":5},)");
  const SiteRecord record = Decode("op/config", changed);
  const auto* configuration = std::get_if<SiteConfiguration>(&record);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->services.at("huvo11a").max_flows == 5);
  REQUIRE(configuration->problems.size() == 1);
  CHECK(configuration->problems[0].source == "services[1]");
}

TEST_CASE("the problems of a configuration are limited in number") {
  // Guards against a malformed item whose reports exhaust the memory of a
  // balancer.
  std::string routes = "7";
  for (int i = 0; i < 400'000; ++i) {
    routes += ",7";
  }
  const SiteRecord record = Decode(
      "op/config", R"({"version":7,"services":[],"routes":[)" + routes + "]}");
  const auto* configuration = std::get_if<SiteConfiguration>(&record);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->problems.size() == 101);
}

TEST_CASE("a service of weight 0 belongs to the route") {
  std::string changed = kConfiguration;
  changed.replace(changed.find("90"), 2, "0");
  const SiteRecord record = Decode("op/config", changed);
  const auto* configuration = std::get_if<SiteConfiguration>(&record);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->routes[1].services ==
        std::vector<WeightedService>{{"huvo11a", 0}, {"wuno96b", 10}});
}

TEST_CASE("a zone that is taken out is decoded from its key alone") {
  CHECK(Decode("op/evacuate/bole", "anything") == SiteRecord(ZoneOut{"bole"}));
}

TEST_CASE(
    "a malformed upstream entry is rejected with an error that names its key") {
  std::string problem;
  const auto refused = [&](const std::string& value) {
    problem.clear();
    return std::holds_alternative<std::monostate>(
               Decode("servers/x", value, &problem)) &&
           problem.starts_with("servers/x: ");
  };
  CHECK(refused("\xff\xfe"));
  CHECK(refused("[]"));
  CHECK(refused("{}"));
  for (const char* name : {"service", "zone", "address", "version", "state",
                           "concurrency_limit", "cold_left_ms", "seq"}) {
    std::string changed = kEntry;
    changed.replace(changed.find(name), 1, "#");
    CAPTURE(name);
    CHECK(refused(changed));
  }
  for (const char* field :
       {"\"version\":\"v1\"", "\"seq\":4", "\"born\":1767225600000"}) {
    std::string changed = kEntry;
    const std::string text = field;
    changed.replace(changed.find(text), text.size(),
                    text.substr(0, text.find(':')) + ":[]");
    CAPTURE(field);
    CHECK(refused(changed));
  }
  std::string state = kEntry;
  state.replace(state.find("ready"), 5, "happy");
  CHECK(refused(state));
  std::string address = kEntry;
  address.replace(address.find("10.128.0.9:8080"), 15, "somewhere_else!");
  CHECK(refused(address));
}

// Guards against one odd entry that ends the readers of a list, or stops them
// following it (LOST).
TEST_CASE("an entry with deep nesting or a number out of range is rejected") {
  constexpr std::size_t kNesting = 1'000'000;
  const std::string open(kNesting, '[');
  const std::string close(kNesting, ']');
  std::string objects;
  for (std::size_t i = 0; i < kNesting / 5; ++i) {
    objects += R"({"a":)";
  }
  const auto refused = [](const std::string& value) {
    std::string problem;
    return std::holds_alternative<std::monostate>(
               Decode("servers/x", value, &problem)) &&
           !problem.empty();
  };
  const auto replaced = [](const std::string& from, const std::string& to) {
    std::string value = kEntry;
    REQUIRE(value.find(from) != std::string::npos);
    value.replace(value.find(from), from.size(), to);
    return value;
  };
  CHECK(refused(open));
  CHECK(refused(open + close));
  CHECK(refused(objects));
  CHECK(refused(replaced("\"v1\"", open + close)));
  CHECK(refused(replaced("\"seq\"", "\"other\":" + open + close + ",\"seq\"")));
  CHECK(refused(replaced("\"seq\":4", "\"seq\":1e999")));
  CHECK(refused(replaced("\"seq\":4", "\"seq\":-4")));
  CHECK(refused(replaced("_limit\":3", "_limit\":99999999999999999999")));
  CHECK(refused(replaced("_ms\":1200", "_ms\":1e300")));
  CHECK(refused(replaced("1767225600000", "18446744073709551615")));
  for (const char* port : {":0", ":65536", ":70000", ":-1", ":", ":8080 "}) {
    CHECK(refused(replaced(":8080", port)));
  }
}

TEST_CASE("an odd route or service is left out of a configuration") {
  std::string changed = kConfiguration;
  const auto replace = [&](const std::string& from, const std::string& to) {
    REQUIRE(changed.find(from) != std::string::npos);
    changed.replace(changed.find(from), from.size(), to);
  };
  SUBCASE("a port out of range") {
    replace("/8080/", "/70000/");
  }
  SUBCASE("no address") {
    replace("198.18.0.1", "198.18.0");
  }
  SUBCASE("no object") {
    replace("\"routes\":[", "\"routes\":[7,");
    replace("{\"name\":\"a\",\"host\"", "{\"name\":\"a\",\"hosts\"");
  }
  const SiteRecord record = Decode("op/config", changed);
  const auto* configuration = std::get_if<SiteConfiguration>(&record);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->version == 7);
  REQUIRE(configuration->routes.size() == 1);
  CHECK(ToString(configuration->routes[0].address) == "198.18.0.1:8443");
  CHECK_FALSE(configuration->problems.empty());
}

TEST_CASE("a configuration that nests deeply is rejected as a whole") {
  const std::string nested =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  std::string changed = kConfiguration;
  changed.replace(changed.find("{\"idle"), 0, nested + ",");
  CHECK(Decode("op/config", changed) == SiteRecord());
}

TEST_CASE("an answer of the store that nests deeply is no valid answer") {
  const std::string nested =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  for (const std::string& body :
       {nested, R"({"items":)" + nested + R"(,"as_of":5})",
        R"({"items":[{"key":"a","revision":4,"removed":)" + nested +
            R"(}],"as_of":5})"}) {
    CHECK(StoreHttpClient::ReadBody(QByteArray::fromStdString(body), false)
              .outcome == StoreAnswer::Outcome::kFailed);
  }
}

TEST_CASE("the body of an answer from the store is parsed") {
  const StoreAnswer list = StoreHttpClient::ReadBody(
      R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4}],)"
      R"("has_more":true,"as_of":530})",
      false);
  REQUIRE(list.outcome == StoreAnswer::Outcome::kItems);
  CHECK(list.items[0].value == "node-1");
  CHECK(list.more);
  CHECK(list.as_of == Revision{530});
  const StoreAnswer events = StoreHttpClient::ReadBody(
      R"({"events":[{"key":"a","revision":9,"removed":true}],"as_of":9})",
      true);
  REQUIRE(events.outcome == StoreAnswer::Outcome::kItems);
  CHECK_FALSE(events.items[0].value);
  CHECK(StoreHttpClient::ReadBody("{\"items\":[", false).outcome ==
        StoreAnswer::Outcome::kFailed);
}

TEST_CASE("a malformed item does not prevent the others from being read") {
  const StoreAnswer answer = StoreHttpClient::ReadBody(
      R"({"items":[{"key":1},7,{"key":"a","value":"bm9kZS0x","revision":4}],)"
      R"("as_of":5})",
      false);
  REQUIRE(answer.outcome == StoreAnswer::Outcome::kItems);
  CHECK(answer.items.size() == 1);
  CHECK_FALSE(answer.problem.empty());
}

TEST_CASE("300,000 mutated items are decoded or rejected without a crash") {
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 300'000; ++i) {
    std::string value = i % 2 == 0 ? kEntry : kConfiguration;
    for (std::uint64_t change = random() % 4; change > 0; --change) {
      const std::size_t at = random() % value.size();
      switch (random() % 3) {
        case 0:
          value[at] = static_cast<char>(random());
          break;
        case 1:
          value.erase(at, random() % 8);
          break;
        default:
          value.insert(at, 1, "{}[]\",:0-"[random() % 9]);
      }
    }
    Decode(i % 2 == 0 ? "servers/i-1" : "op/config", value);
  }
}

}  // namespace fireflytrestle
