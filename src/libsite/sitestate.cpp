#include "libsite/sitestate.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <set>
#include <utility>

#include "libbase/fault.h"
#include "libsite/recorddecoder.h"
#include "libsite/siteview.h"

namespace fireflytrestle {

namespace {

using Kind = SiteChange::Kind;

std::string Describe(const UpstreamEntry& entry) {
  return entry.service + " at " + ToString(entry.address) + " in " +
         entry.zone + (entry.draining ? ", draining" : ", ready") +
         ", cold for " + std::to_string(entry.cold_left.count()) + " ms";
}

}  // namespace

SiteState::SiteState(const RecordDecoder& decoder, Listener listener)
    : m_decoder(decoder), m_listener(std::move(listener)) {}

bool SiteState::Apply(const StoreItem& item, TimePoint now) {
  const auto [position, added] = m_items.try_emplace(item.key);
  ItemState& stored = position->second;
  if (!added && item.revision <= stored.revision) {
    return false;
  }
  if (!item.value) {
    stored.revision = item.revision;
    return Remove(item.key, &stored, item.revision, now);
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(record, m_decoder.Decode(item.key, *item.value));
        return Put(item.key, &stored, std::move(record), item.revision, now);
      },
      [&](const Fault& fault) {
        stored.revision = item.revision;
        m_listener({Kind::kUnreadable, item.key, fault.problem, item.revision});
        return Remove(item.key, &stored, item.revision, now);
      },
      [&] {
        stored.revision = item.revision;
        m_listener(
            {Kind::kUnreadable, item.key, "unknown error", item.revision});
        return Remove(item.key, &stored, item.revision, now);
      });
}

bool SiteState::Replace(const std::string& prefix,
                        const std::vector<StoreItem>& items,
                        Revision as_of,
                        TimePoint now) {
  bool changed = false;
  std::set<std::string> present;
  for (const StoreItem& item : items) {
    present.insert(item.key);
    changed |= Apply(item, now);
  }
  for (auto& [key, stored] : m_items) {
    if (key.starts_with(prefix) && !present.contains(key) && stored.present &&
        stored.revision <= as_of) {
      stored.revision = as_of;
      changed |= Remove(key, &stored, as_of, now);
    }
  }
  return changed;
}

bool SiteState::Expire(TimePoint now) {
  bool changed = std::erase_if(m_dropped_routes, [&](const auto& item) {
                   return now - item.second >= kDroppedRouteRetention;
                 }) > 0;
  for (auto& [key, stored] : m_items) {
    auto* entry = std::get_if<UpstreamEntry>(&stored.record);
    if (entry != nullptr && entry->missing_since &&
        now - *entry->missing_since >= kMissingGracePeriod) {
      m_listener(
          {Kind::kUpstreamGone, entry->id, Describe(*entry), stored.revision});
      stored.record = std::monostate();
      changed = true;
    }
  }
  return changed;
}

bool SiteState::Remove(const std::string& /*key*/,
                       ItemState* stored,
                       Revision revision,
                       TimePoint now) {
  stored->present = false;
  OnAddressChanged(stored->record, revision);
  if (const auto* zone = std::get_if<ZoneOut>(&stored->record)) {
    m_listener({Kind::kZoneIn, zone->zone, "", revision});
    stored->record = std::monostate();
    return true;
  }
  if (auto* entry = std::get_if<UpstreamEntry>(&stored->record)) {
    if (!entry->missing_since) {
      entry->missing_since = now;
      m_listener(
          {Kind::kUpstreamMissing, entry->id, Describe(*entry), revision});
    }
    return true;
  }
  return false;
}

bool SiteState::Put(const std::string& key,
                    ItemState* stored,
                    SiteRecord record,
                    Revision revision,
                    TimePoint now) {
  stored->present = true;
  stored->revision = revision;
  if (auto* configuration = std::get_if<SiteConfiguration>(&record)) {
    if (configuration->version <= m_configuration.version) {
      m_listener({Kind::kConfigurationOlder, key,
                  std::to_string(configuration->version), revision});
      return false;
    }
    for (const Fault& fault : configuration->problems) {
      m_listener({Kind::kUnreadable, key, fault.problem, revision});
    }
    Install(std::move(*configuration), now);
    m_listener({Kind::kConfiguration, std::to_string(m_configuration.version),
                std::to_string(m_configuration.routes.size()) + " routes",
                revision});
    return true;
  }
  if (const auto* zone = std::get_if<ZoneOut>(&record)) {
    m_listener({Kind::kZoneOut, zone->zone, "", revision});
  }
  if (auto* entry = std::get_if<UpstreamEntry>(&record)) {
    entry->revision = revision;
    entry->received_at = now;
    if (HasNamedService(*entry)) {
      m_listener(
          {Kind::kUpstreamChanged, entry->id, Describe(*entry), revision});
    } else {
      m_listener(
          {Kind::kUnreadable, key,
           "no configuration names the service \"" + entry->service + "\"",
           revision});
    }
  }
  OnAddressChanged(stored->record, revision);
  OnAddressChanged(record, revision);
  stored->record = std::move(record);
  return !std::holds_alternative<std::monostate>(stored->record);
}

void SiteState::Install(SiteConfiguration configuration, TimePoint now) {
  for (const RouteSettings& route : m_configuration.routes) {
    m_dropped_routes.try_emplace(route.address, now);
  }
  m_configuration = std::move(configuration);
  for (const RouteSettings& route : m_configuration.routes) {
    m_dropped_routes.erase(route.address);
  }
}

bool SiteState::HasNamedService(const UpstreamEntry& entry) const {
  return !has_configuration() ||
         m_configuration.services.contains(entry.service);
}

void SiteState::OnAddressChanged(const SiteRecord& record, Revision revision) {
  const auto* entry = std::get_if<UpstreamEntry>(&record);
  if (entry != nullptr && HasNamedService(*entry)) {
    Revision& last = m_address_revisions[entry->address.ipv4];
    last = std::max(last, revision);
  }
}

std::shared_ptr<const SiteView> SiteState::View() const {
  auto view = std::make_shared<SiteView>();
  view->configuration_version = m_configuration.version;
  for (const RouteSettings& route : m_configuration.routes) {
    view->routes.emplace(route.address, route);
  }
  for (const auto& [route, dropped_at] : m_dropped_routes) {
    view->dropped_routes.insert(route);
  }
  view->services = m_configuration.services;
  view->flow_idle_timeout = m_configuration.flow_idle_timeout;
  for (const auto& [key, stored] : m_items) {
    if (const auto* zone = std::get_if<ZoneOut>(&stored.record)) {
      view->zones_out.insert(zone->zone);
    }
    const auto* entry = std::get_if<UpstreamEntry>(&stored.record);
    if (entry == nullptr) {
      continue;
    }
    if (!HasNamedService(*entry)) {
      view->unconfigured_upstreams.insert(entry->address.ipv4);
      continue;
    }
    const auto [position, added] =
        view->upstreams.emplace(entry->address.ipv4, *entry);
    const UpstreamEntry& present = position->second;
    const auto rank = [](const UpstreamEntry& each) {
      return std::tuple(!each.missing_since, each.started_unix_ms,
                        each.revision);
    };
    if (!added && rank(present) < rank(*entry)) {
      position->second = *entry;
    }
  }
  for (auto& [ipv4, entry] : view->upstreams) {
    view->unconfigured_upstreams.erase(ipv4);
    const auto changed = m_address_revisions.find(ipv4);
    if (changed != m_address_revisions.end()) {
      entry.revision = std::max(entry.revision, changed->second);
    }
  }
  return view;
}

}  // namespace fireflytrestle
