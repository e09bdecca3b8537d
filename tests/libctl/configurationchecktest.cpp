#include "libctl/configurationcheck.h"

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "libctl/controltoolfixture.h"

namespace fireflytrestle {
namespace {

using Json = nlohmann::json;

constexpr char kClean[] =
    R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1",)"
    R"("prefix":"/8080/","kind":"unsafe","timeout_ms":1000,"slo_ms":150,)"
    R"("priority":1,"service":"orders"},{"name":"b","host":"198.18.0.1",)"
    R"("prefix":"/8443/","kind":"safe","timeout_ms":800,"slo_ms":120,)"
    R"("backends":[{"service":"orders","weight":90},)"
    R"({"service":"images","weight":10}]}],"services":[{"name":"orders",)"
    R"("max_conns":2000,"cold_s":2.0,"cold_per_s":12.5},{"name":"images",)"
    R"("max_conns":2000,"cold_s":2.0,"cold_per_s":5}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

/// \brief A folder with the clean configuration as "now" and "next".
class CheckFixture : public ControlToolFixture {
 public:
  CheckFixture() {
    Write("now", kClean);
    Write("next", kClean);
  }

  void ChangeNext(const std::string& from, const std::string& to) const {
    Replace("next", from, to);
  }

  /// Makes "next" newer than "now" and compares them.
  int CompareNext() {
    ChangeNext("\"version\":7", "\"version\":9");
    return Run("check @next --against @now");
  }

  int reported_lines() const {
    return static_cast<int>(std::ranges::count(errors(), '\n'));
  }
};

}  // namespace

TEST_CASE("a configuration without faults passes the strict check") {
  // Guards against warnings of settings that are in order.
  CheckFixture f;
  CHECK(f.Run("check @next --strict") == 0);
  CHECK(f.errors().empty());
  CHECK(f.Printed("next: 0 errors, 0 warnings\n"));
}

TEST_CASE("all faults of a configuration are reported with their places") {
  // Guards against a check that ends at its first fault.
  CheckFixture f;
  f.ChangeNext("\"priority\":1", "\"priority\":10");
  f.ChangeNext("/8443/", "/70000/");
  f.ChangeNext("\"name\":\"images\"", "\"title\":\"images\"");
  CHECK(f.Run("check @next") == 2);
  CHECK(
      f.Reported("routes[0]: the \"priority\" of the route to "
                 "198.18.0.1:8080 is not a number from 0 to 9"));
  CHECK(f.Reported("routes[1]: a route has no valid \"host\" or \"prefix\""));
  CHECK(f.Reported("services[1]: a service has no \"name\""));
  CHECK(f.reported_lines() == 3);
}

TEST_CASE("a missing version hides no other fault") {
  // Guards against a second run that reports faults which the first left out.
  CheckFixture f;
  f.ChangeNext("\"version\":7,", "");
  f.ChangeNext("/8443/", "/70000/");
  CHECK(f.Run("check @next") == 2);
  CHECK(f.Reported("next: op/config: \"version\" is missing"));
  CHECK(f.Reported("next: routes[1]: a route has no valid"));
}

TEST_CASE("a route behind another of its address and port is an error") {
  // Guards against a route that operators add and that never gets a flow.
  CheckFixture f;
  f.ChangeNext("/8443/", "/8080/");
  CHECK(f.Run("check @next") == 2);
  CHECK(
      f.Reported("route 198.18.0.1:8080: entry 2 of this address and port "
                 "never matches"));
}

TEST_CASE("a route to a service that is not listed is an error") {
  // Guards against a misspelt name, which refuses the flows sent to it.
  CheckFixture f;
  f.ChangeNext("\"service\":\"images\"", "\"service\":\"image\"");
  CHECK(f.Run("check @next") == 2);
  CHECK(
      f.Reported("error: route 198.18.0.1:8443: its service image is not "
                 "listed, so that new flows to it are refused"));
  CHECK(f.Reported("warning: service images: no route sends flows to it"));
}

TEST_CASE("a route that names no service is an error") {
  // Guards against a route whose callers are all refused.
  CheckFixture f;
  f.ChangeNext("\"service\":\"orders\"}", "\"services\":\"orders\"}");
  CHECK(f.Run("check @next") == 2);
  CHECK(f.Reported("route 198.18.0.1:8080: it names no service"));
}

TEST_CASE("a version of 0 is an error") {
  // Guards against a first configuration that balancers ignore.
  CheckFixture f;
  f.ChangeNext("\"version\":7", "\"version\":0");
  CHECK(f.Run("check @next") == 2);
  CHECK(f.Reported("version: it is 0"));
}

TEST_CASE("settings that cannot work together are warnings") {
  // Guards against limits of which one defeats the other.
  const std::vector<std::pair<std::pair<std::string, std::string>, std::string>>
      cases{
          {{"\"weight\":90},{\"service\":\"images\",\"weight\":10",
            "\"weight\":0},{\"service\":\"images\",\"weight\":0"},
           "route 198.18.0.1:8443: the weight is 0 everywhere"},
          {{"\"service\":\"images\",\"weight\":10",
            "\"service\":\"images\",\"weight\":10},{\"service\":\"images\""},
           "route 198.18.0.1:8443: it names the service images more than once"},
          {{"15000", "900"},
           "route 198.18.0.1:8080: the idle time-out of 900 ms is under its "
           "time-out of 1000 ms"},
          {{"\"slo_ms\":150", "\"slo_ms\":1001"},
           "route 198.18.0.1:8080: its latency objective of 1001 ms is above "
           "its time-out of 1000 ms"},
          {{"\"timeout_ms\":1000", "\"timeout_ms\":0"},
           "route 198.18.0.1:8080: its time-out is 0 or missing"},
          {{"\"slo_ms\":150,", ""},
           "route 198.18.0.1:8080: its latency objective is 0 or missing"},
          {{"/8080/", "/0/"}, "route 198.18.0.1:0: no packet goes to port 0"},
          {{"12.5", "0"},
           "service orders: its slow start has a rate of 0, which counts as no "
           "limit"},
          {{"\"cold_s\":2.0", "\"cold_s\":0"},
           "service orders: its slow start has a rate, but lasts 0 ms"},
          {{"\"max_conns\":2000,", ""},
           "service orders: its limit of open flows is 0 or missing"},
          {{"\"idle_timeout_ms\":15000", ""},
           "idle time-out: it is 0 or missing"}};
  for (const auto& [change, warning] : cases) {
    CAPTURE(warning);
    CheckFixture f;
    f.ChangeNext(change.first, change.second);
    CHECK(f.Run("check @next") == 0);
    CHECK_MESSAGE(f.Reported("warning: " + warning), f.errors());
    CHECK(f.reported_lines() == 1);
    CHECK(f.Printed("0 errors, 1 warning\n"));
  }
}

TEST_CASE("warnings end only a strict check with code 1") {
  // Guards against a script that cannot tell warnings from errors.
  CheckFixture f;
  f.ChangeNext("15000", "900");
  CHECK(f.Run("check @next") == 0);
  CHECK(f.Run("check @next --strict") == 1);
  f.ChangeNext("\"version\":7", "\"version\":0");
  CHECK(f.Run("check @next --strict") == 2);
}

TEST_CASE("a file that holds no configuration is one clear error") {
  // Guards against a crash or an error without its place.
  CheckFixture f;
  f.Write("broken", "{\n \"version\": 7,\n \"routes\": [}\n");
  f.Write("cut", std::string(kClean).substr(0, 200));
  f.Write("deep", std::string(300'000, '['));
  f.Write("nested", std::string(300'000, '[') + std::string(300'000, ']'));
  f.Write("deepmember",
          "{\"version\":1,\"entries\":" + std::string(300'000, '[') +
              std::string(300'000, ']') + "}");
  f.Write("empty", "");
  f.Write("blank", " \n");
  f.Write("list", "[]");
  f.Write("number", R"({"version":1e999})");
  f.Write("large", std::string(10'000'000, ' ') + kClean);
  REQUIRE(mkdir(f.Path("folder").c_str(), 0700) == 0);
  const std::vector<std::pair<std::string, std::string>> cases{
      {"broken", "broken: line 3, column 13: it is not valid JSON here"},
      {"cut", "cut: line 1, column 201: it is not valid JSON here"},
      {"deep", "it nests deeper than 32 levels"},
      {"nested", "it nests deeper than 32 levels"},
      {"deepmember", "it nests deeper than 32 levels"},
      {"empty", "empty: it is empty"},
      {"blank", "blank: it is empty"},
      {"list", "list: it is not a JSON object"},
      {"number", "number: it has a number out of range"},
      {"large", "large: it is larger than one megabyte"},
      {"absent", "absent: it cannot be read: No such file"},
      {"folder", "folder: it is a directory"}};
  for (const auto& [name, error] : cases) {
    CAPTURE(name);
    CHECK(f.Run("check @" + name) == 2);
    CHECK_MESSAGE(f.Reported(error), f.errors());
    CHECK(f.reported_lines() == 1);
    CHECK(f.Printed("1 error, 0 warnings\n"));
    CHECK(f.Run("check @next --against @" + name) == 2);
    CHECK_MESSAGE(f.Reported(error), f.errors());
  }
}

TEST_CASE("the effect of each change of a route on callers is stated") {
  // Guards against a change that operators publish without knowing that it
  // ends or moves flows.
  const std::string added =
      R"({"host":"198.18.0.9","prefix":"/443/","timeout_ms":9,"slo_ms":9,)"
      R"("service":"images"},)";
  const std::string b = R"({"name":"b")";
  const std::string keeps = "; open flows stay; new ones get the new value";
  const std::vector<std::pair<std::pair<std::string, std::string>, std::string>>
      cases{
          {{b, added + b},
           "route 198.18.0.9:443: added; new flows go to images"},
          {{"198.18.0.1\",\"prefix\":\"/8080/",
            "198.18.0.1\",\"prefix\":\"/81/"},
           "route 198.18.0.1:8080: removed; new flows are refused; open flows "
           "are reset "},
          {{"\"weight\":90", "\"weight\":0"},
           "route 198.18.0.1:8443: services orders (90 of 100), images (10 "
           "of 100) -> orders (0 of 10), images; open flows stay; new ones "
           "go to orders (0 of 10), images"},
          {{"\"timeout_ms\":1000", "\"timeout_ms\":900"},
           "route 198.18.0.1:8080: time-out 1000 ms -> 900 ms" + keeps},
          {{"\"slo_ms\":150", "\"slo_ms\":99"},
           "route 198.18.0.1:8080: latency objective 150 ms -> 99 ms" + keeps},
          {{"\"priority\":1", "\"priority\":2"},
           "route 198.18.0.1:8080: priority 1 -> 2" + keeps},
          {{"\"kind\":\"unsafe\"", "\"kind\":\"download\""},
           "route 198.18.0.1:8080: requests may not be repeated -> may be "
           "repeated" +
               keeps}};
  for (const auto& [change, difference] : cases) {
    CAPTURE(difference);
    CheckFixture f;
    f.ChangeNext(change.first, change.second);
    CHECK(f.CompareNext() == 0);
    CHECK_MESSAGE(f.Printed(difference), f.output());
  }
}

TEST_CASE("the effect of each change of a service or limit is stated") {
  // Guards against a service that leaves or changes without a word.
  CheckFixture f;
  f.ChangeNext("{\"service\":\"images\",\"weight\":10}",
               "{\"service\":\"films\",\"weight\":10}");
  f.ChangeNext("\"name\":\"images\"", "\"name\":\"films\"");
  f.ChangeNext("12.5", "20");
  f.ChangeNext("15000", "20000");
  CHECK(f.CompareNext() == 0);
  CHECK(f.Printed("service images: removed; its upstreams get no new flows"));
  CHECK(f.Printed("service films: added"));
  CHECK(f.Printed("service orders: rate of the slow start 12.5 -> 20; "));
  CHECK(f.Printed("idle time-out: 15000 ms -> 20000 ms"));
  CHECK(f.Printed("0 errors, 0 warnings, 5 differences from"));
}

TEST_CASE("a version that is not newer than the one in force is an error") {
  // Guards against a configuration that is sent and that balancers ignore.
  CheckFixture f;
  CHECK(f.Run("check @next --against @now") == 2);
  CHECK(
      f.Reported("version: 7 is not newer than 7, which is in force; "
                 "balancers ignore it; use at least 8"));
}

TEST_CASE("a published document is recognised and checked") {
  // Guards against a document that is read as the platform's form.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  CHECK(f.Run("check @a --strict") == 0);
  CHECK(f.errors().empty());
  f.Replace("q.yaml", "open_flows: 9000", "open_flows: 90000");
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @b") == 0);
  CHECK(f.Run("check @b --strict") == 1);
  CHECK(f.Reported("warning: capacity: service counter: "));
}

TEST_CASE("a damaged published document is an error") {
  // Guards against a document whose digest balancers refuse.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  f.Replace("a", "bole", "bale");
  CHECK(f.Run("check @a") == 2);
  CHECK(f.Reported("a: document: its revision or entries do not match"));
}

TEST_CASE("a service of a published document without a usable target warns") {
  // Guards against a service that is published while nothing can serve it.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  for (const char* zone : {"merkato", "bole", "kality", "piassa"}) {
    REQUIRE(f.Run("zone-out " + std::string(zone) +
                  " --base @a --output @a --force") == 0);
  }
  CHECK(f.Run("check @a --strict") == 1);
  CHECK(f.Reported("service counter: no target is in a zone that is in"));
}

TEST_CASE("the effect of a zone that is taken out is stated") {
  // Guards against a zone whose flows end without notice to operators.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  REQUIRE(f.Run("zone-out bole --base @a --output @b") == 0);
  CHECK(f.Run("check @b --against @a") == 0);
  CHECK(
      f.Printed("change zone bole: state in -> out; its open flows are "
                "abandoned"));
  CHECK(f.Run("check @a --against @b") == 2);
  CHECK(f.Reported("revision: 1 is not newer than 2"));
}

TEST_CASE("the effect of a target that is removed or added is stated") {
  // Guards against lines of changes whose effect is not recognised.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  f.Replace("q.yaml", "127.0.0.1:21003", "127.0.0.1:21099");
  REQUIRE(f.Run("generate --questionnaire @q.yaml --base @a --output @b") == 0);
  CHECK(f.Run("check @b --against @a") == 0);
  CHECK(f.Printed("at 127.0.0.1:21003; it gets no new flows"));
  CHECK(f.Printed("at 127.0.0.1:21099; open flows stay; it gets new ones"));
}

TEST_CASE("files of different forms are not compared") {
  // Guards against a comparison with the wrong file.
  CheckFixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  CHECK(f.Run("check @next --against @a") == 2);
  CHECK(f.Reported("it does not have the form of"));
}

TEST_CASE("the result for scripts is one JSON object") {
  // Guards against text that a script would have to parse, and against an
  // object that lacks the faults of a file that cannot be read.
  CheckFixture f;
  f.ChangeNext("15000", "900");
  f.ChangeNext("\"priority\":1", "\"priority\":10");
  CHECK(f.Run("check @next --against @now --json") == 2);
  CHECK(f.errors().empty());
  Json json = Json::parse(f.output());
  CHECK(json["errors"].size() == 2);
  CHECK(json["errors"][0]["place"] == "routes[0]");
  CHECK(json["warnings"][0]["place"] == "route 198.18.0.1:8080");
  CHECK(json["warnings"][0].contains("remedy"));
  CHECK(json["differences"][0]["place"] == "idle time-out");
  CHECK(f.Run("check @ab\xffsent --json") == 2);
  json = Json::parse(f.output());
  CHECK(json["errors"].size() == 1);
}

TEST_CASE("a name with control characters stays on its line") {
  // Guards against a file that writes to the terminal of the operator.
  CheckFixture f;
  f.ChangeNext("\"service\":\"images\"", "\"service\":\"a\\u001b[2J\\nb\"");
  CHECK(f.Run("check @next") == 2);
  CHECK(f.Reported("its service a?[2J?b is not listed"));
  CHECK(f.CompareNext() == 2);
  CHECK(f.Printed("a?[2J?b"));
}

TEST_CASE("the forms of the check accept only their own arguments") {
  // Guards against an option that is accepted and has no effect.
  CheckFixture f;
  const std::vector<std::pair<std::string, std::string>> cases{
      {"check", "the file, or --questionnaire, is missing"},
      {"check @next @now", "one argument too many"},
      {"check @next --questionnaire @q.yaml", "one argument too many"},
      {"check --questionnaire @q.yaml --json", "it has no option --json"},
      {"check --questionnaire @q.yaml --strict", "it has no option --strict"},
      {"check @next --force", "it has no option --force"},
      {"check @next --base @now", "it has no option --base"},
      {"show --base @next --against @now", "it has no option --against"},
      {"check @next --against", "missing argument"}};
  for (const auto& [command, error] : cases) {
    CAPTURE(command);
    CHECK(f.Run(command) == 2);
    CHECK_MESSAGE(f.Reported(error), f.errors());
    CHECK(f.reported_lines() == 1);
    CHECK(f.output().empty());
  }
}

}  // namespace fireflytrestle
