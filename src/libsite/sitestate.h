#ifndef FIREFLYTRESTLE_LIBSITE_SITESTATE_H_
#define FIREFLYTRESTLE_LIBSITE_SITESTATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libbase/clock.h"
#include "libsite/siterecord.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

class RecordDecoder;
struct SiteView;

/// \brief A change of the site state of a process, for its log.
struct SiteChange {
  enum class Kind {
    kConfiguration,
    kConfigurationOlder,
    kZoneOut,
    kZoneIn,
    kUpstreamChanged,
    kUpstreamMissing,
    kUpstreamGone,
    kUnreadable,
  };

  Kind kind = Kind::kConfiguration;
  /// Key of the item, configuration version, zone, or id of the upstream.
  std::string subject;
  std::string detail;
  Revision revision{};
};

/// \brief Builds the state of the site from the items of the store. The
/// configuration is never replaced by an older version, and an item never by an
/// older revision.
class SiteState {
 public:
  using Listener = std::function<void(const SiteChange&)>;

  /// Time for which an upstream stays in the view after its entry has
  /// disappeared: upstreams whose entries expired while the store was
  /// unreachable register again within 2 s after it is reachable again.
  static constexpr std::chrono::milliseconds kMissingGracePeriod{2000};

  /// Time for which a dropped route is remembered: flows live up to a minute.
  static constexpr std::chrono::seconds kDroppedRouteRetention{60};

  /// \p decoder must outlive the state.
  SiteState(const RecordDecoder& decoder, Listener listener);

  /// Applies one changed or removed item. Returns whether the view changed.
  bool Apply(const StoreItem& item, TimePoint now);

  /// Applies a complete listing of \p prefix as of \p as_of. Items that are not
  /// in it are removed unless they changed after \p as_of. Returns whether the
  /// view changed.
  bool Replace(const std::string& prefix,
               const std::vector<StoreItem>& items,
               Revision as_of,
               TimePoint now);

  /// Removes upstreams whose entries have been missing for kMissingGracePeriod,
  /// and routes that were dropped kDroppedRouteRetention ago. Returns whether
  /// the view changed.
  bool Expire(TimePoint now);

  std::shared_ptr<const SiteView> View() const;

  bool has_configuration() const { return m_configuration.version != 0; }

 private:
  struct ItemState {
    Revision revision{};
    bool present = true;
    SiteRecord record;
  };

  bool Remove(const std::string& key,
              ItemState* stored,
              Revision revision,
              TimePoint now);
  bool Put(const std::string& key,
           ItemState* stored,
           SiteRecord record,
           Revision revision,
           TimePoint now);

  void Install(SiteConfiguration configuration, TimePoint now);

  /// Records a change of an entry of the view, and with it of what the store
  /// has for the entry's address. Does nothing for other records.
  void OnAddressChanged(const SiteRecord& record, Revision revision);

  /// Whether the configuration has the entry's service. An entry of another one
  /// names no upstream; before the first configuration every entry may do.
  bool HasNamedService(const UpstreamEntry& entry) const;

  const RecordDecoder& m_decoder;
  Listener m_listener;
  std::map<std::string, ItemState> m_items;
  /// Revision of the last change of an entry for each IPv4 address. An agent
  /// ignores older revisions than it has applied, also those of the entry that
  /// is left when another one for the address goes.
  std::map<std::uint32_t, Revision> m_address_revisions;
  SiteConfiguration m_configuration;
  /// Routes that the current configuration no longer has, and when they were
  /// dropped.
  std::map<SocketAddress, TimePoint> m_dropped_routes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SITESTATE_H_
