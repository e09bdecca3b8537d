#include "libctl/configurationcheck.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "libconfig/configuration.h"
#include "libconfig/configurationchange.h"
#include "libctl/checkreport.h"
#include "libsite/siterecord.h"

namespace fireflytrestle {
namespace {

using std::chrono::milliseconds;

std::string ToText(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

/// \brief Checks one configuration of the platform's operators.
class SiteCheck {
 public:
  SiteCheck(const SiteConfiguration& configuration, CheckReport* report)
      : m_configuration(configuration), m_report(report) {}

  void Run() {
    for (const Fault& fault : m_configuration.problems) {
      m_report->errors.push_back(fault);
    }
    m_place = "version";
    if (m_configuration.version == 0) {
      AddError("it is 0, and balancers ignore it", "use at least 1");
    }
    m_place = "routes";
    if (m_configuration.routes.empty()) {
      AddWarning("there is no route, so that every flow is refused",
                 "add the routes");
    }
    std::map<SocketAddress, int> entries;
    for (const RouteSettings& route : m_configuration.routes) {
      const int entry = ++entries[route.address];
      m_place = "route " + ToString(route.address);
      if (entry > 1) {
        AddError("entry " + std::to_string(entry) +
                     " of this address and port never matches, the first one "
                     "hides it",
                 "remove it, or give it another address or port");
        continue;
      }
      CheckRoute(route);
    }
    CheckServices();
    m_place = "idle time-out";
    if (m_configuration.flow_idle_timeout == milliseconds(0)) {
      AddWarning("it is 0 or missing; the balancers' own flow lifetime is used",
                 "state the idle time-out");
    }
  }

 private:
  void AddError(std::string problem, std::string remedy) {
    m_report->errors.push_back(
        {m_place, std::move(problem), std::move(remedy)});
  }

  void AddWarning(std::string problem, std::string remedy) {
    m_report->warnings.push_back(
        {m_place, std::move(problem), std::move(remedy)});
  }

  void CheckRoute(const RouteSettings& route) {
    if (route.address.port == 0) {
      AddWarning("no packet goes to port 0, so that it never matches",
                 "use a port from 1 to 65535");
    }
    CheckRouteServices(route);
    CheckRouteTimes(route);
  }

  void CheckRouteServices(const RouteSettings& route) {
    if (route.services.empty()) {
      AddError("it names no service, so that its new flows are refused",
               "name a service, or remove the route");
      return;
    }
    if (std::ranges::none_of(route.services, [](const WeightedService& each) {
          return each.weight != 0;
        })) {
      AddWarning(
          "the weight is 0 everywhere, so that its new flows are "
          "refused",
          "give one service a weight, or remove the route");
    }
    std::set<std::string> seen;
    for (const WeightedService& each : route.services) {
      if (!seen.insert(each.service).second) {
        AddWarning("it names the service " + each.service +
                       " more than once; the weights are added",
                   "name it once, with the sum of the weights");
        continue;
      }
      m_used.insert(each.service);
      if (m_configuration.services.contains(each.service)) {
        continue;
      }
      const std::string problem =
          "its service " + each.service + " is not listed";
      const char* remedy = "list the service, or correct the name";
      if (each.weight != 0) {
        AddError(problem + ", so that new flows to it are refused", remedy);
      } else {
        AddWarning(problem, remedy);
      }
    }
  }

  void CheckRouteTimes(const RouteSettings& route) {
    const milliseconds idle = m_configuration.flow_idle_timeout;
    if (route.timeout == milliseconds(0)) {
      AddWarning(
          "its time-out is 0 or missing; while an upstream is busy, its "
          "requests are not queued by their deadline",
          "state the time-out");
    } else if (route.latency_objective > route.timeout) {
      AddWarning("its latency objective of " + ToText(route.latency_objective) +
                     " is above its time-out of " + ToText(route.timeout),
                 "lower the objective, or raise the time-out");
    }
    if (route.latency_objective == milliseconds(0)) {
      AddWarning(
          "its latency objective is 0 or missing; each of its waiting "
          "requests counts as late",
          "state the latency objective");
    }
    if (idle > milliseconds(0) && idle < route.timeout) {
      AddWarning("the idle time-out of " + ToText(idle) +
                     " is under its time-out of " + ToText(route.timeout) +
                     "; a flow may be discarded while its caller waits",
                 "raise the idle time-out, or lower the time-out");
    }
  }

  void CheckServices() {
    for (const auto& [name, limits] : m_configuration.services) {
      m_place = "service " + name;
      if (!m_used.contains(name)) {
        AddWarning("no route sends flows to it",
                   "add a route, or remove the service");
      }
      if (limits.max_flows == 0) {
        AddWarning("its limit of open flows is 0 or missing",
                   "state how many flows an upstream holds");
      }
      if (limits.cold_duration > milliseconds(0) && limits.cold_rate == 0.0) {
        AddWarning("its slow start has a rate of 0, which counts as no limit",
                   "state the requests per second of a cold upstream");
      }
      if (limits.cold_duration == milliseconds(0) && limits.cold_rate > 0.0) {
        AddWarning("its slow start has a rate, but lasts 0 ms",
                   "state how long it lasts, or remove the rate");
      }
    }
  }

  const SiteConfiguration& m_configuration;
  CheckReport* m_report;
  std::string m_place;
  /// Services that a route names.
  std::set<std::string> m_used;
};

}  // namespace

void CheckSettings(const SiteConfiguration& configuration,
                   CheckReport* report) {
  SiteCheck(configuration, report).Run();
}

void CheckSettings(const Configuration& configuration, CheckReport* report) {
  const std::vector<ServiceCapacity> capacities =
      ComputeCapacity(configuration);
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    const ServiceSettings& service = configuration.services[i];
    const std::string place = "service " + service.name;
    const bool has_target =
        std::ranges::count(configuration.targets, service.id,
                           &TargetSettings::service) != 0;
    if (!has_target) {
      report->warnings.push_back({place,
                                  "it has no target, so that its flows are "
                                  "refused",
                                  "add targets, or remove the service"});
    } else if (capacities[i].targets == 0) {
      report->warnings.push_back(
          {place, "no target is in a zone that is in", "bring a zone in"});
    }
    if (service.request_types.empty()) {
      report->warnings.push_back(
          {place, "it has no request type", "describe its requests"});
    }
    if (service.peak_flows == 0) {
      report->warnings.push_back(
          {place, "its peak is not stated, so its capacity is not checked",
           "answer peak in the questionnaire"});
    }
  }
  for (const ZoneSettings& zone : configuration.zones) {
    if (std::ranges::count(configuration.targets, zone.id,
                           &TargetSettings::zone) == 0) {
      report->warnings.push_back({"zone " + zone.name, "it has no target",
                                  "add targets, or remove the zone"});
    }
  }
  for (const std::string& line : FindOverload(configuration)) {
    report->warnings.push_back(
        {"capacity", line, "add targets or bring a zone in"});
  }
  for (const std::string& line : FindMissingReserve(configuration)) {
    report->warnings.push_back(
        {"capacity", line, "add targets in other zones"});
  }
}

}  // namespace fireflytrestle
