#include "libconfig/configurationchange.h"

#include <algorithm>
#include <map>
#include <set>

#include "libconfig/configuration.h"

namespace fireflytrestle {
namespace {

std::set<ZoneId> ZonesOut(const Configuration& configuration) {
  std::set<ZoneId> out;
  for (const ZoneSettings& zone : configuration.zones) {
    if (zone.out) {
      out.insert(zone.id);
    }
  }
  return out;
}

/// Compares objects of two configurations by id and appends a line for each
/// difference.
template <typename Object, typename Describe, typename DescribeChange>
void CompareObjects(const std::vector<Object>& from,
                    const std::vector<Object>& to,
                    const Describe& describe,
                    const DescribeChange& describe_change,
                    std::vector<std::string>* lines) {
  std::map<decltype(Object::id), const Object*> before;
  for (const Object& object : from) {
    before.emplace(object.id, &object);
  }
  for (const Object& object : to) {
    const auto old = before.find(object.id);
    if (old == before.end()) {
      lines->push_back("add " + describe(object));
      continue;
    }
    if (*old->second != object) {
      std::string line = "change " + describe(object) + ":";
      line += describe_change(*old->second, object);
      lines->push_back(std::move(line));
    }
    before.erase(old);
  }
  for (const auto& [id, object] : before) {
    lines->push_back("remove " + describe(*object));
  }
}

/// Returns " what from -> to" if the values differ, else an empty string.
std::string Change(const char* what,
                   const std::string& from,
                   const std::string& to) {
  if (from == to) {
    return "";
  }
  std::string text = " ";
  return text.append(what).append(" ").append(from).append(" -> ").append(to);
}

template <typename Number>
std::string Change(const char* what, Number from, Number to) {
  return Change(what, std::to_string(from), std::to_string(to));
}

std::string DescribeRequests(const ServiceSettings& service) {
  std::string text;
  for (const RequestType& type : service.request_types) {
    text += text.empty() ? "" : ", ";
    text += type.name;
    text += type.kind == RequestKind::kFeed       ? " (feed"
            : type.kind == RequestKind::kDocument ? " (document"
                                                  : " (order";
    text += type.idempotent ? ")" : ", may not be repeated)";
  }
  return "[" + text + "]";
}

std::string ChangeOfTarget(const TargetSettings& from,
                           const TargetSettings& to) {
  return Change("slots", from.slots, to.slots) +
         Change("connections", from.connections, to.connections) +
         Change("cold_requests_at_once", from.cold_slots, to.cold_slots) +
         Change("cold_new_flows_per_second", from.cold_flows_per_second,
                to.cold_flows_per_second) +
         Change("warm_up_ms", from.warmup.count(), to.warmup.count());
}

std::string Overload(const ServiceSettings& service,
                     const char* what,
                     std::uint64_t capacity,
                     std::uint32_t peak) {
  return "service " + service.name + ": " + std::to_string(capacity) + " " +
         what + " are in, its peak needs " + std::to_string(peak);
}

}  // namespace

std::vector<ServiceCapacity> ComputeCapacity(
    const Configuration& configuration) {
  const std::set<ZoneId> out = ZonesOut(configuration);
  std::vector<ServiceCapacity> capacities;
  std::map<ServiceId, std::size_t> positions;
  for (const ServiceSettings& service : configuration.services) {
    positions.emplace(service.id, capacities.size());
    capacities.push_back({service.id});
  }
  for (const TargetSettings& target : configuration.targets) {
    const auto position = positions.find(target.service);
    if (position == positions.end() || out.contains(target.zone)) {
      continue;
    }
    ServiceCapacity& capacity = capacities[position->second];
    ++capacity.targets;
    capacity.connections += target.connections;
    capacity.slots += target.slots;
  }
  return capacities;
}

std::vector<std::string> FindOverload(const Configuration& configuration) {
  std::vector<std::string> lines;
  const std::vector<ServiceCapacity> capacities =
      ComputeCapacity(configuration);
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    const ServiceSettings& service = configuration.services[i];
    if (capacities[i].connections < service.peak_flows) {
      lines.push_back(Overload(service, "connections",
                               capacities[i].connections, service.peak_flows));
    }
    if (capacities[i].slots < service.peak_requests) {
      lines.push_back(Overload(service, "slots", capacities[i].slots,
                               service.peak_requests));
    }
  }
  return lines;
}

std::vector<std::string> FindMissingReserve(
    const Configuration& configuration) {
  std::vector<std::string> lines;
  if (!FindOverload(configuration).empty()) {
    return lines;
  }
  Configuration without = configuration;
  for (ZoneSettings& zone : without.zones) {
    if (zone.out) {
      continue;
    }
    zone.out = true;
    for (const std::string& line : FindOverload(without)) {
      lines.push_back("without zone " + zone.name + ", " + line);
    }
    zone.out = false;
  }
  return lines;
}

std::vector<std::string> FindServicesOnlyIn(const Configuration& configuration,
                                            ZoneId zone) {
  Configuration without = configuration;
  for (ZoneSettings& each : without.zones) {
    each.out = each.out || each.id == zone;
  }
  const std::vector<ServiceCapacity> before = ComputeCapacity(configuration);
  const std::vector<ServiceCapacity> after = ComputeCapacity(without);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].targets != 0 && after[i].targets == 0) {
      names.push_back(configuration.services[i].name);
    }
  }
  return names;
}

std::vector<std::string> DescribeChanges(const Configuration& from,
                                         const Configuration& to) {
  std::vector<std::string> lines;
  CompareObjects(
      from.zones, to.zones,
      [](const ZoneSettings& zone) { return "zone " + zone.name; },
      [](const ZoneSettings& a, const ZoneSettings& b) {
        return Change("name", a.name, b.name) +
               Change("region", a.region, b.region) +
               Change("state", std::string(a.out ? "out" : "in"),
                      std::string(b.out ? "out" : "in"));
      },
      &lines);
  CompareObjects(
      from.services, to.services,
      [](const ServiceSettings& service) { return "service " + service.name; },
      [](const ServiceSettings& a, const ServiceSettings& b) {
        return Change("name", a.name, b.name) +
               Change("address", ToString(a.address), ToString(b.address)) +
               Change("requests", DescribeRequests(a), DescribeRequests(b)) +
               Change("peak open_flows", a.peak_flows, b.peak_flows) +
               Change("peak requests_at_once", a.peak_requests,
                      b.peak_requests);
      },
      &lines);
  std::map<ServiceId, std::string> services;
  std::map<ZoneId, std::string> zones;
  for (const Configuration* each : {&to, &from}) {
    for (const ServiceSettings& service : each->services) {
      services.emplace(service.id, service.name);
    }
    for (const ZoneSettings& zone : each->zones) {
      zones.emplace(zone.id, zone.name);
    }
  }
  CompareObjects(
      from.targets, to.targets,
      [&](const TargetSettings& target) {
        return "target " +
               std::to_string(static_cast<std::uint32_t>(target.id)) + " of " +
               services[target.service] + " in " + zones[target.zone] + " at " +
               ToString(target.agent);
      },
      [&](const TargetSettings& a, const TargetSettings& b) {
        return Change("service", services[a.service], services[b.service]) +
               Change("zone", zones[a.zone], zones[b.zone]) +
               Change("agent", ToString(a.agent), ToString(b.agent)) +
               ChangeOfTarget(a, b);
      },
      &lines);
  return lines;
}

}  // namespace fireflytrestle
