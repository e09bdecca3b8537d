#include "libconfig/configurationgenerator.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

#include "libbase/errorcode.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/questionnaire.h"

namespace fireflytrestle {
namespace {

/// \brief Returns the ids of known objects and allocates ids that were never
/// used to new ones.
template <typename Id, typename Key>
class IdAllocator {
 public:
  void AddKnown(const Key& key, Id id) {
    m_known.emplace(key, id);
    ReserveBelow(Number{static_cast<Number>(id)} + std::uint64_t{1});
  }

  /// Excludes ids below \p next from allocation.
  void ReserveBelow(std::uint64_t next) { m_next = std::max(m_next, next); }

  Id Allocate(const Key& key) {
    const auto known = m_known.find(key);
    return known != m_known.end() ? known->second
                                  : Id{static_cast<Number>(m_next++)};
  }

  Id next() const { return Id{static_cast<Number>(m_next)}; }

  /// Returns whether next() no longer fits its type.
  bool IsExhausted() const {
    return m_next > std::numeric_limits<Number>::max();
  }

 private:
  using Number = std::underlying_type_t<Id>;

  std::map<Key, Id> m_known;
  std::uint64_t m_next = 1;
};

using TargetKey = std::tuple<ServiceId, ZoneId, SocketAddress>;

/// \brief The id allocators for one configuration, initialized with the ids of
/// the base.
struct Allocators {
  explicit Allocators(const Configuration* base) {
    if (base == nullptr) {
      return;
    }
    for (const ZoneSettings& zone : base->zones) {
      zones.AddKnown(zone.name, zone.id);
    }
    for (const ServiceSettings& service : base->services) {
      services.AddKnown(service.name, service.id);
    }
    for (const TargetSettings& target : base->targets) {
      targets.AddKnown({target.service, target.zone, target.agent}, target.id);
    }
    zones.ReserveBelow(static_cast<std::uint64_t>(base->next_ids.zone));
    services.ReserveBelow(static_cast<std::uint64_t>(base->next_ids.service));
    targets.ReserveBelow(static_cast<std::uint64_t>(base->next_ids.target));
  }

  IdAllocator<ZoneId, std::string> zones;
  IdAllocator<ServiceId, std::string> services;
  IdAllocator<TargetId, TargetKey> targets;
};

bool IsOut(const Configuration* base, const std::string& zone) {
  return base != nullptr &&
         std::ranges::any_of(base->zones, [&zone](const ZoneSettings& each) {
           return each.name == zone && each.out;
         });
}

}  // namespace

boost::leaf::result<Configuration> GenerateConfiguration(
    const Questionnaire& answers,
    const Configuration* base) {
  Allocators ids(base);
  Configuration configuration;
  configuration.revision = Revision{
      base == nullptr ? 1 : static_cast<std::uint64_t>(base->revision) + 1};
  std::map<std::string, ZoneId> zone_ids;
  for (const Questionnaire::Zone& zone : answers.zones) {
    const ZoneId id = ids.zones.Allocate(zone.name);
    zone_ids.emplace(zone.name, id);
    configuration.zones.push_back(
        {id, zone.name, zone.region, IsOut(base, zone.name)});
  }
  std::vector<Fault> faults;
  for (const Questionnaire::Service& service : answers.services) {
    const ServiceId id = ids.services.Allocate(service.name);
    configuration.services.push_back({id, service.name, service.address,
                                      service.request_types, service.peak_flows,
                                      service.peak_requests});
    for (const Questionnaire::Target& target : service.targets) {
      const auto zone = zone_ids.find(target.zone);
      if (zone == zone_ids.end()) {
        faults.push_back(
            {"service " + service.name,
             "a target is in zone " + target.zone + ", which does not exist",
             "name an existing zone"});
        continue;
      }
      configuration.targets.push_back(
          {ids.targets.Allocate({id, zone->second, target.agent}), id,
           zone->second, target.agent, target.slots, target.connections,
           target.cold_slots, target.cold_flows_per_second, target.warmup});
    }
  }
  if (ids.zones.IsExhausted() || ids.services.IsExhausted() ||
      ids.targets.IsExhausted()) {
    faults.push_back({"ids", "no unused id is left",
                      "set up a new site with new processes"});
  }
  configuration.next_ids = {ids.zones.next(), ids.services.next(),
                            ids.targets.next()};
  std::ranges::sort(configuration.zones, {}, &ZoneSettings::id);
  std::ranges::sort(configuration.services, {}, &ServiceSettings::id);
  std::ranges::sort(configuration.targets, {}, &TargetSettings::id);
  if (faults.empty()) {
    faults = CheckConfiguration(configuration);
  }
  if (!faults.empty()) {
    return boost::leaf::new_error(ErrorCode::kInvalidConfiguration,
                                  std::move(faults));
  }
  return configuration;
}

}  // namespace fireflytrestle
