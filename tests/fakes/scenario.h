#ifndef FIREFLYTRESTLE_TESTS_FAKES_SCENARIO_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SCENARIO_H_

#include <functional>
#include <string>
#include <vector>

namespace fireflytrestle {

class Site;

/// \brief One action during a scenario, such as a fault or a change.
struct ScenarioStep {
  /// Time of the action as a fraction of the run: 0 is its start and 1 its end.
  double at = 0;
  std::function<void(Site&)> run;
};

struct Scenario {
  std::string name;
  std::vector<ScenarioStep> steps;
  /// An agent, which owns flows, is killed, so broken flows are not a
  /// violation.
  bool flows_may_break = false;
};

/// Returns all scenarios, in the order of the documentation.
const std::vector<Scenario>& AllScenarios();

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SCENARIO_H_
