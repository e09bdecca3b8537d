#include "libctl/configurationcomparison.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "libconfig/configuration.h"
#include "libconfig/configurationchange.h"
#include "libctl/checkreport.h"
#include "libsite/siterecord.h"

namespace fireflytrestle {
namespace {

using std::chrono::milliseconds;

void CompareVersions(const char* what,
                     std::uint64_t from,
                     std::uint64_t to,
                     CheckReport* report) {
  if (to <= from) {
    report->errors.push_back({what,
                              std::to_string(to) + " is not newer than " +
                                  std::to_string(from) +
                                  ", which is in force; balancers ignore it",
                              "use at least " + std::to_string(from + 1)});
  }
}

std::string ToText(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

/// Returns the shortest text of a rate.
std::string ToText(double rate) {
  std::ostringstream text;
  text << rate;
  return text.str();
}

/// Returns the services of a route with their shares of the new flows.
std::string DescribeServices(const RouteSettings& route) {
  std::uint64_t total = 0;
  for (const WeightedService& each : route.services) {
    total += each.weight;
  }
  if (total == 0) {
    return "no service";
  }
  std::string text;
  for (const WeightedService& each : route.services) {
    text += text.empty() ? "" : ", ";
    text += each.service;
    if (each.weight != total) {
      text += " (" + std::to_string(each.weight) + " of " +
              std::to_string(total) + ")";
    }
  }
  return text;
}

std::string DescribeKind(const RouteSettings& route) {
  return std::string(route.idempotent ? "may be repeated"
                                      : "may not be repeated") +
         (route.long_lived ? ", long flows" : "");
}

/// \brief Lists the differences between two configurations of the platform's
/// operators.
class SiteComparison {
 public:
  SiteComparison(const SiteConfiguration& from,
                 const SiteConfiguration& to,
                 CheckReport* report)
      : m_from(from), m_to(to), m_report(report) {}

  void Run() {
    CompareRoutes();
    CompareServices();
    m_subject = "idle time-out";
    AddChange("", ToText(m_from.flow_idle_timeout),
              ToText(m_to.flow_idle_timeout),
              "it applies to open flows at once");
  }

 private:
  void Add(std::string change, std::string effect) {
    m_report->differences.push_back(
        {m_subject, std::move(change), std::move(effect)});
  }

  /// Adds a difference if the values differ.
  void AddChange(const std::string& what,
                 const std::string& from,
                 const std::string& to,
                 const std::string& effect) {
    if (from != to) {
      Add(what + (what.empty() ? "" : " ") + from + " -> " + to, effect);
    }
  }

  /// Returns the routes that match; a later entry of an address never does.
  static std::map<SocketAddress, const RouteSettings*> MatchingRoutes(
      const SiteConfiguration& configuration) {
    std::map<SocketAddress, const RouteSettings*> routes;
    for (const RouteSettings& route : configuration.routes) {
      routes.emplace(route.address, &route);
    }
    return routes;
  }

  void CompareRoutes() {
    const auto before = MatchingRoutes(m_from);
    const auto after = MatchingRoutes(m_to);
    for (const auto& [address, route] : after) {
      m_subject = "route " + ToString(address);
      const auto old = before.find(address);
      if (old == before.end()) {
        Add("added", "new flows go to " + DescribeServices(*route));
      } else {
        CompareRoute(*old->second, *route);
      }
    }
    for (const auto& [address, route] : before) {
      if (!after.contains(address)) {
        m_subject = "route " + ToString(address);
        // A balancer that holds a flow goes on with it, others reset its
        // packets.
        Add("removed",
            "new flows are refused; open flows are reset once their packets "
            "reach a balancer that does not hold them");
      }
    }
  }

  void CompareRoute(const RouteSettings& from, const RouteSettings& to) {
    const std::string services = DescribeServices(to);
    if (from.services != to.services) {
      Add("services " + DescribeServices(from) + " -> " + services,
          services == "no service"
              ? "open flows stay; new ones are refused"
              : "open flows stay; new ones go to " + services);
    }
    // A balancer that takes a flow over uses the new value.
    const std::string effect = "open flows stay; new ones get the new value";
    AddChange("time-out", ToText(from.timeout), ToText(to.timeout), effect);
    AddChange("latency objective", ToText(from.latency_objective),
              ToText(to.latency_objective), effect);
    AddChange("priority", std::to_string(from.priority),
              std::to_string(to.priority), effect);
    AddChange("requests", DescribeKind(from), DescribeKind(to), effect);
  }

  void CompareServices() {
    for (const auto& [name, limits] : m_to.services) {
      m_subject = "service " + name;
      const auto old = m_from.services.find(name);
      if (old == m_from.services.end()) {
        Add("added", "its upstreams may get new flows");
        continue;
      }
      const ServiceLimits& from = old->second;
      AddChange("limit of open flows", std::to_string(from.max_flows),
                std::to_string(limits.max_flows), "open flows stay");
      AddChange("slow start", ToText(from.cold_duration),
                ToText(limits.cold_duration), "open flows stay");
      AddChange("rate of the slow start", ToText(from.cold_rate),
                ToText(limits.cold_rate),
                "open flows stay; cold upstreams get the new rate at once");
    }
    for (const auto& [name, limits] : m_from.services) {
      if (!m_to.services.contains(name)) {
        m_subject = "service " + name;
        Add("removed",
            "its upstreams get no new flows; open flows stay while the "
            "upstreams run");
      }
    }
  }

  const SiteConfiguration& m_from;
  const SiteConfiguration& m_to;
  CheckReport* m_report;
  std::string m_subject;
};

/// \brief Effect of the lines of DescribeChanges() with a certain start.
struct ChangeEffect {
  std::string_view start;
  const char* effect;
};

constexpr std::array kChangeEffects{
    ChangeEffect{"add target",
                 "open flows stay; it gets new ones, at first "
                 "as in a cold start"},
    ChangeEffect{"remove target",
                 "it gets no new flows; stop its agent first, so that its open "
                 "flows can move"},
    ChangeEffect{"change target",
                 "open flows stay; new ones follow the new limits"},
    ChangeEffect{"add service", "callers can open flows to it"},
    ChangeEffect{"remove service", "new flows to it are refused"},
    ChangeEffect{"change service",
                 "open flows stay; new ones follow the new settings"},
    ChangeEffect{"add zone", "none until it has targets"},
    ChangeEffect{"remove zone", "none beside that on its targets"}};

const char* EffectOf(const std::string& line) {
  for (const ChangeEffect& each : kChangeEffects) {
    if (line.starts_with(each.start)) {
      return each.effect;
    }
  }
  if (line.starts_with("change zone")) {
    return line.find("state in -> out") != std::string::npos
               ? "its open flows are abandoned, and their callers are told to "
                 "open new ones elsewhere"
           : line.find("state out -> in") != std::string::npos
               ? "open flows stay; its targets get new ones as in a cold start"
               : "open flows stay";
  }
  return "open flows stay";
}

}  // namespace

void CompareSettings(const SiteConfiguration& from,
                     const SiteConfiguration& to,
                     CheckReport* report) {
  CompareVersions("version", from.version, to.version, report);
  SiteComparison(from, to, report).Run();
}

void CompareSettings(const Configuration& from,
                     const Configuration& to,
                     CheckReport* report) {
  CompareVersions("revision", static_cast<std::uint64_t>(from.revision),
                  static_cast<std::uint64_t>(to.revision), report);
  for (const std::string& line : DescribeChanges(from, to)) {
    report->differences.push_back({"configuration", line, EffectOf(line)});
  }
}

}  // namespace fireflytrestle
