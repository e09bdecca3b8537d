#include "libctl/controltool.h"

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "libctl/controltoolfixture.h"

namespace fireflytrestle {

using Fixture = ControlToolFixture;

TEST_CASE("a site is generated, revised and regenerated with its zones out") {
  // Guards against a command whose result the next command cannot use, and
  // against a zone that is in again after the site is regenerated.
  Fixture f;
  CHECK(f.Run("check --questionnaire @q.yaml") == 0);
  CHECK(f.errors().empty());
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @b") == 0);
  CHECK(f.Read(f.Path("a")) == f.Read(f.Path("b")));
  REQUIRE(f.Run("zone-out bole --base @a --output @a") == 0);
  CHECK(f.errors().empty());
  CHECK(f.output().find("revision 2\nservice counter has 5 targets, 15 slots "
                        "and 10000 connections\n") != std::string::npos);
  CHECK(f.Run("zone-out bole --base @a --output @c") == 2);
  CHECK(f.Reported("out already"));
  f.Replace("q.yaml", "127.0.0.1:21003", "127.0.0.1:21099");
  f.Replace("q.yaml", "slots: 3", "slots: 4");
  CHECK(f.Run("diff --questionnaire @q.yaml --base @a") == 0);
  CHECK(f.output().find("change target 1 of counter in merkato at "
                        "127.0.0.1:21000: slots 3 -> 4\n") !=
        std::string::npos);
  CHECK(f.output().find(
            "add target 12 of counter in piassa at 127.0.0.1:21099\n") !=
        std::string::npos);
  CHECK(f.output().find("remove target 4 of counter in piassa at "
                        "127.0.0.1:21003\n8 changes from revision 2\n") !=
        std::string::npos);
  REQUIRE(f.Run("generate --questionnaire @q.yaml --base @a --output @a") == 0);
  CHECK(f.Run("show --base @a") == 0);
  CHECK(
      f.output().starts_with("revision 3\nzone merkato: region addis, in\nzone "
                             "bole: region addis, out\n"));
  CHECK(f.Run("zone-in bole --base @a --output @a") == 0);
  CHECK(f.Run("zone-in bole --base @a --output @c") == 2);
  CHECK(f.Run("zone-in nowhere --base @a --output @c") == 2);
  CHECK(f.Reported("use one of: merkato, bole, kality, piassa"));
  CHECK_FALSE(std::filesystem::exists(f.Path("c")));
}

TEST_CASE("zone-out warns of overload and keeps a service's last targets") {
  // Guards against an operator who takes out capacity that a service needs
  // without a warning, or its last targets without --force.
  Fixture f;
  f.Replace("q.yaml", "open_flows: 9000", "open_flows: 10001");
  f.Replace("q.yaml", "requests_at_once: 14", "requests_at_once: 16");
  CHECK(f.Run("check --questionnaire @q.yaml") == 0);
  CHECK(
      f.Reported("without zone bole, service counter: 15 slots are in, its "
                 "peak needs 16"));
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  CHECK(f.Run("zone-out bole --base @a --output @a") == 0);
  CHECK(f.Reported(
      "service counter: 10000 connections are in, its peak needs 10001"));
  CHECK(f.Reported("service counter: 15 slots are in, its peak needs 16"));
  CHECK_FALSE(f.Reported("ledger"));
  CHECK(f.Run("zone-out merkato --base @a --output @a") == 0);
  CHECK(f.Run("zone-out kality --base @a --output @a") == 0);
  const std::string before = f.Read(f.Path("a"));
  CHECK(f.Run("zone-out piassa --base @a --output @a") == 2);
  CHECK(f.Reported("last targets of service counter"));
  CHECK(f.Read(f.Path("a")) == before);
  CHECK(f.Run("zone-out piassa --base @a --output @a --force") == 0);
  CHECK(f.Reported("service ledger has no target left"));
}

TEST_CASE("a failed command overwrites no file and each error is one line") {
  // Guards against a lost file, and against a revision that the fleet ignores
  // because it is not newer.
  Fixture f;
  REQUIRE(f.Run("generate --questionnaire @q.yaml --output @a") == 0);
  REQUIRE(f.Run("zone-out bole --base @a --output @b") == 0);
  f.Write("large", std::string(1'000'001, '#'));
  f.Write("damaged", f.Read(f.Path("a")).replace(60, 1, "~"));
  f.Write("bad.yaml", "site: [");
  REQUIRE(mkdir(f.Path("folder").c_str(), 0700) == 0);
  REQUIRE(mkfifo(f.Path("pipe").c_str(), 0600) == 0);
  const std::vector<std::pair<std::string, std::string>> cases{
      {"generate --questionnaire @q.yaml --output @b",
       "revision 1 is not newer"},
      {"generate --questionnaire @q.yaml --base @b --revision 2 --output @c",
       "2 is not newer"},
      {"generate --questionnaire @q.yaml --base @b --revision x --output @c",
       "not a whole number"},
      {"generate --questionnaire @q.yaml --base @b --output @q.yaml",
       "not a published"},
      {"generate --questionnaire @q.yaml --base @damaged --output @b",
       "damaged: document"},
      {"generate --questionnaire @q.yaml --base @folder --output @b",
       "a directory"},
      {"generate --questionnaire @q.yaml --output @folder", "a directory"},
      {"generate --questionnaire @bad.yaml --base @a --output @b", "bad.yaml:"},
      {"check --questionnaire @large", "larger than one megabyte"},
      // Guards against reading a file of any size: the size check of the
      // document comes after the whole file was read and has a different
      // message.
      {"show --base @large", "larger than one megabyte"},
      {"check --questionnaire @pipe", "not a regular file"},
      {"check --questionnaire @miss\x1bing", "miss?ing: it cannot be read"},
      {"check --questionnaire @q.yaml --base @a", "no option --base"},
      {"check --questionnaire @q.yaml --questionnaire @a", "given twice"},
      {"check --questionnaire", "missing argument"},
      {"check --nope --questionnaire @q.yaml", "unknown option"},
      {"zone-out --base @a --output @b", "zone is missing"},
      {"show --base @a extra", "too many"},
      {"frob", "not a command"},
      {"", "missing"}};
  for (const auto& [command, error] : cases) {
    CAPTURE(command);
    const std::string before = f.Read(f.Path("b")) + f.Read(f.Path("q.yaml"));
    CHECK(f.Run(command) == 2);
    CHECK_MESSAGE(f.Reported(error), f.errors());
    CHECK(std::ranges::count(f.errors(), '\n') == 1);
    CHECK(f.Read(f.Path("b")) + f.Read(f.Path("q.yaml")) == before);
    CHECK_FALSE(std::filesystem::exists(f.Path("c")));
  }
  // A write that fails partway, as on a full disk.
  const std::string before = f.Read(f.Path("b"));
  rlimit limit{};
  getrlimit(RLIMIT_FSIZE, &limit);
  const rlimit small{100, limit.rlim_max};
  std::signal(SIGXFSZ, SIG_IGN);
  setrlimit(RLIMIT_FSIZE, &small);
  const int code = f.Run("zone-out kality --base @b --output @b");
  setrlimit(RLIMIT_FSIZE, &limit);
  std::signal(SIGXFSZ, SIG_DFL);
  CHECK(code == 1);
  CHECK(f.Read(f.Path("b")) == before);
  CHECK(std::ranges::distance(
            std::filesystem::directory_iterator(f.Path(""))) == 8);
  CHECK(f.Run("generate --questionnaire @q.yaml --output @no/where") == 1);
  CHECK(f.Reported("cannot be written"));
  CHECK(f.Run("generate") == 2);
  CHECK(std::ranges::count(f.errors(), '\n') == 2);
  CHECK(f.Run("--version") == 0);
  CHECK(f.output() == "fireflytrestle-ctl 1.2.3\n");
  CHECK(f.Run("--help") == 0);
}

}  // namespace fireflytrestle
