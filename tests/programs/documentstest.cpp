#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "agent/agentreport.h"
#include "agent/agentsettings.h"
#include "balancer/balancerreport.h"
#include "balancer/balancersettings.h"
#include "flowagent/flowagentsettings.h"
#include "flowbalancer/flowbalancersettings.h"
#include "libbase/logger.h"
#include "libbase/manualclock.h"
#include "libconfig/configuration.h"
#include "libnet/eventloop.h"
#include "libnet/meshdriver.h"
#include "libnet/metricswriter.h"
#include "libnet/processreport.h"
#include "libwire/callermessagecodec.h"

namespace fireflytrestle {

namespace {

std::string ReadText(const std::string& name) {
  std::ifstream file(DOCUMENTS_FOLDER "/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string FormatRow(const Setting& setting) {
  const std::string value = setting.default_value.value_or("required");
  // A "|" within a table cell must be escaped.
  std::string placeholder;
  for (const char c : setting.placeholder) {
    placeholder += c == '|' ? "\\|" : std::string(1, c);
  }
  return "| `--" + setting.name + "` | `" + EnvironmentVariable(setting.name) +
         "` | `" + placeholder + "` | " + (value.empty() ? "empty" : value) +
         " | " + setting.description + " |";
}

void Count(const CallerMessage& message, CallerMessageCounters* counters) {
  std::array<std::uint8_t, kMaxDatagramBytes> buffer;
  counters->Count({buffer.data(), EncodeCallerMessage(message, buffer)});
}

/// Returns a snapshot that yields metrics of every kind.
TrafficSnapshot MakeFullSnapshot() {
  TrafficSnapshot snapshot;
  snapshot.router.targets.emplace_back();
  snapshot.router.services.emplace_back();
  Count(OpenRefusedMessage{}, &snapshot.zones[std::nullopt].to_callers);
  return snapshot;
}

void CheckSettingsPage(const std::string& page,
                       const std::vector<std::vector<Setting>>& tables) {
  std::set<std::string> rows;
  for (const auto& table : tables) {
    for (const Setting& setting : table) {
      rows.insert(FormatRow(setting));
    }
  }
  std::set<std::string> documented;
  std::istringstream text(ReadText(page));
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("| `--")) {
      documented.insert(line);
    }
  }
  for (const std::string& row : rows) {
    CAPTURE(row);
    CHECK(documented.erase(row) == 1);
  }
  CHECK(documented.empty());
}

}  // namespace

TEST_CASE("docs/settings.md lists exactly the settings of the programs") {
  // Guards against a settings page that differs from --help.
  BalancerSettings balancer;
  AgentSettings agent;
  CheckSettingsPage("settings.md", {MakeBalancerSettingsTable(&balancer),
                                    MakeAgentSettingsTable(&agent)});
}

TEST_CASE("docs/settings-flows.md lists the settings of the flow programs") {
  FlowBalancerSettings balancer;
  FlowAgentSettings agent;
  CheckSettingsPage("settings-flows.md",
                    {MakeFlowBalancerSettingsTable(&balancer),
                     MakeFlowAgentSettingsTable(&agent)});
}

TEST_CASE("docs/metrics.md names every metric") {
  // Guards against metrics that the page does not document.
  EnsureEventLoop();
  const ManualClock clock;
  Logger logger({}, Logger::StandardErrorOutput("error"), clock);
  const ProcessSettings settings;
  const MeshDriver mesh({}, {}, clock, &logger, {});
  const ProcessReport process("test", "1", settings, mesh, clock.Now());
  MetricsWriter metrics;
  process.WriteMetrics(false, clock.Now(), &metrics);
  BalancerReport balancer(1);
  balancer.Record(0, MakeFullSnapshot(), clock.Now());
  balancer.WriteMetrics(process, &metrics);
  AgentReport(TargetId{1}).WriteMetrics({}, process, &metrics);
  const std::string document = ReadText("metrics.md");
  std::istringstream text(metrics.Write());
  int names = 0;
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("# TYPE ")) {
      const std::string name = line.substr(7, line.find(' ', 7) - 7);
      CAPTURE(name);
      CHECK(document.find("`" + name + "`") != std::string::npos);
      ++names;
    }
  }
  CHECK(names > 40);
}

}  // namespace fireflytrestle
