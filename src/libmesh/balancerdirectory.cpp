#include "libmesh/balancerdirectory.h"

#include <algorithm>
#include <tuple>

#include "libconfig/instancerecord.h"
#include "libmesh/rendezvous.h"

namespace fireflytrestle {

namespace {

constexpr std::size_t kRingLinks = 2;
constexpr std::size_t kRandomLinks = 2;
constexpr std::size_t kLeafLinks = 2;
constexpr std::size_t kWatchersPerRegion = 3;
constexpr std::uint64_t kRingSalt = 1;
constexpr std::uint64_t kWatcherSalt = 2;

std::uint64_t Score(std::uint64_t hash_key, InstanceId id) {
  return RendezvousScore(hash_key, static_cast<std::uint64_t>(id));
}

std::uint64_t Score(std::uint64_t hash_key, const SocketAddress& address) {
  return RendezvousScore(hash_key,
                         (std::uint64_t{address.ipv4} << 16) | address.port);
}

}  // namespace

BalancerDirectory::BalancerDirectory(const MeshSettings& settings)
    : m_settings(settings) {
  for (const SocketAddress& seed : settings.seeds) {
    AddBootstrapAddress(seed);
  }
  Rank();
}

void BalancerDirectory::Update(const std::vector<InstanceRecord>& instances) {
  m_other_balancers.clear();
  m_has_instance_list = !instances.empty();
  m_cached_watcher.reset();
  for (const InstanceRecord& record : instances) {
    if (record.role == InstanceRecord::Role::kBalancer && !record.leaving &&
        record.id != m_settings.id &&
        record.mesh_address != m_settings.mesh_address) {
      m_other_balancers.push_back(
          {record.id, record.mesh_address, record.region, record.zone});
    }
  }
  Rank();
}

void BalancerDirectory::AddBootstrapAddress(const SocketAddress& address) {
  if (address == m_settings.mesh_address ||
      std::find(m_bootstrap_addresses.begin(), m_bootstrap_addresses.end(),
                address) != m_bootstrap_addresses.end()) {
    return;
  }
  m_bootstrap_addresses.push_back(address);
  Rank();
}

bool BalancerDirectory::IsWatcher(Revision revision) {
  if (m_settings.leaf || !m_has_instance_list) {
    return false;
  }
  if (m_cached_watcher && m_cached_watcher->first == revision) {
    return m_cached_watcher->second;
  }
  const std::uint64_t hash_key =
      RendezvousScore(kWatcherSalt, static_cast<std::uint64_t>(revision));
  const std::uint64_t own = Score(hash_key, m_settings.id);
  const auto ahead =
      std::count_if(m_other_balancers.begin(), m_other_balancers.end(),
                    [&](const Balancer& other) {
                      return other.region == m_settings.region &&
                             Score(hash_key, other.id) < own;
                    });
  m_cached_watcher.emplace(
      revision, static_cast<std::size_t>(ahead) < kWatchersPerRegion);
  return m_cached_watcher->second;
}

std::vector<SocketAddress> BalancerDirectory::AlternativesFor(
    InstanceId leaf,
    std::size_t count) const {
  std::vector<SocketAddress> result;
  for (const Balancer* balancer :
       RankByScore(static_cast<std::uint64_t>(leaf))) {
    if (result.size() == count) {
      break;
    }
    result.push_back(balancer->address);
  }
  return result;
}

void BalancerDirectory::Rank() {
  m_preferences.clear();
  if (!m_other_balancers.empty()) {
    m_settings.leaf ? RankForLeaf() : RankForBalancer();
  } else {
    m_preferences.push_back(
        {m_settings.leaf ? kLeafLinks : kRingLinks + kRandomLinks, {}});
  }
  // Addresses from the settings and from other balancers rank after those of
  // the instance list: they may belong to balancers that are missing from an
  // outdated list.
  std::vector<SocketAddress> bootstrap_addresses = m_bootstrap_addresses;
  const auto own = static_cast<std::uint64_t>(m_settings.id);
  std::sort(bootstrap_addresses.begin(), bootstrap_addresses.end(),
            [own](const SocketAddress& a, const SocketAddress& b) {
              return Score(own, a) < Score(own, b);
            });
  for (LinkPreference& preference : m_preferences) {
    std::vector<SocketAddress> known = preference.ranked;
    std::sort(known.begin(), known.end());
    for (const SocketAddress& bootstrap_address : bootstrap_addresses) {
      if (!std::binary_search(known.begin(), known.end(), bootstrap_address)) {
        preference.ranked.push_back(bootstrap_address);
      }
    }
  }
}

void BalancerDirectory::RankForLeaf() {
  // Balancers of the leaf's own region come first, so that the leaf keeps its
  // view when regions lose connectivity to each other.
  auto ranked = RankByScore(static_cast<std::uint64_t>(m_settings.id));
  std::stable_partition(ranked.begin(), ranked.end(),
                        [this](const Balancer* balancer) {
                          return balancer->region == m_settings.region;
                        });
  // The second balancer is in another zone of that region if there is one, so
  // that the leaf keeps a link when a zone fails.
  const auto other_zone =
      std::find_if(ranked.begin(), ranked.end(),
                   [first = ranked.front()](const Balancer* balancer) {
                     return balancer->zone != first->zone;
                   });
  if (other_zone != ranked.end() &&
      (*other_zone)->region == ranked.front()->region) {
    std::rotate(ranked.begin() + 1, other_zone, other_zone + 1);
  }
  LinkPreference preference{kLeafLinks, {}};
  for (const Balancer* balancer : ranked) {
    preference.ranked.push_back(balancer->address);
  }
  m_preferences.push_back(std::move(preference));
}

void BalancerDirectory::RankForBalancer() {
  const std::size_t links = kRingLinks + kRandomLinks;
  const auto random = RankByScore(static_cast<std::uint64_t>(m_settings.id));
  LinkPreference random_links{m_other_balancers.size() <= links
                                  ? m_other_balancers.size()
                                  : kRandomLinks,
                              {}};
  for (const Balancer* balancer : random) {
    random_links.ranked.push_back(balancer->address);
  }
  if (m_other_balancers.size() > links) {
    // The ring covers one region, so that each region stays connected on its
    // own; the random links cross regions.
    std::vector<const Balancer*> ring = random;
    const std::uint64_t own = Score(kRingSalt, m_settings.id);
    std::sort(ring.begin(), ring.end(),
              [&](const Balancer* a, const Balancer* b) {
                const auto key = [&](const Balancer* balancer) {
                  const std::uint64_t position = Score(kRingSalt, balancer->id);
                  return std::tuple(balancer->region != m_settings.region,
                                    position - own);
                };
                return key(a) < key(b);
              });
    LinkPreference ring_links{kRingLinks, {}};
    for (const Balancer* balancer : ring) {
      ring_links.ranked.push_back(balancer->address);
    }
    m_preferences.push_back(std::move(ring_links));
  }
  m_preferences.push_back(std::move(random_links));
}

std::vector<const BalancerDirectory::Balancer*> BalancerDirectory::RankByScore(
    std::uint64_t hash_key) const {
  std::vector<const Balancer*> ranked;
  ranked.reserve(m_other_balancers.size());
  for (const Balancer& balancer : m_other_balancers) {
    ranked.push_back(&balancer);
  }
  std::sort(ranked.begin(), ranked.end(),
            [hash_key](const Balancer* a, const Balancer* b) {
              return Score(hash_key, a->id) < Score(hash_key, b->id);
            });
  return ranked;
}

}  // namespace fireflytrestle
