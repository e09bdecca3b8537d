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

/// \brief A change of what a process believes of the site, for its log.
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
  /// Key of the item, zone, or id of the upstream.
  std::string subject;
  std::string detail;
  Revision revision{};
};

/// \brief Collects what the store says. The configuration never goes back to an
/// older version, and an item never to an older revision.
class SiteState {
 public:
  using Listener = std::function<void(const SiteChange&)>;

  /// Time for which a missing entry still counts: upstreams whose entries
  /// lapsed while the store was away register again within 2 s of its return.
  static constexpr std::chrono::milliseconds kMissingGracePeriod{2000};

  /// \p decoder must outlive the state.
  SiteState(const RecordDecoder& decoder, Listener listener);

  /// Takes one changed or removed item. Returns whether the view changed.
  bool Apply(const StoreItem& item, TimePoint now);

  /// Takes a whole listing of \p prefix: items that it lacks and whose last
  /// change is not newer than \p as_of are gone.
  bool Replace(const std::string& prefix,
               const std::vector<StoreItem>& items,
               Revision as_of,
               TimePoint now);

  /// Drops entries that have been missing for kMissingGracePeriod. Returns
  /// whether the view changed.
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

  const RecordDecoder& m_decoder;
  Listener m_listener;
  std::map<std::string, ItemState> m_items;
  SiteConfiguration m_configuration;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_SITESTATE_H_
