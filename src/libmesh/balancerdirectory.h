#ifndef FIREFLYTRESTLE_LIBMESH_BALANCERDIRECTORY_H_
#define FIREFLYTRESTLE_LIBMESH_BALANCERDIRECTORY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libmesh/meshsettings.h"

namespace fireflytrestle {

struct InstanceRecord;

/// \brief Balancers in order of preference, and how many links to them a
/// process keeps.
struct LinkPreference {
  std::size_t link_count = 0;
  std::vector<SocketAddress> ranked;
};

/// \brief Ranks the known balancers: whom to keep links to, and which watch the
/// configuration service.
class BalancerDirectory {
 public:
  explicit BalancerDirectory(const MeshSettings& settings);

  /// Replaces what is known from the instance list.
  void Update(const std::vector<InstanceRecord>& instances);

  /// Adds an address learned from a balancer, used while there is no instance
  /// list.
  void AddBootstrapAddress(const SocketAddress& address);

  const std::vector<LinkPreference>& preferences() const {
    return m_preferences;
  }

  /// Returns whether this process is one of the watchers of its region at
  /// \p revision of the configuration.
  ///
  /// The rank depends on the revision: a watcher reads the whole document at
  /// each change, which is above the control traffic of one node at the design
  /// size, so the work moves on with each change. Without an instance list
  /// nobody is a watcher, because then every process would be.
  bool IsWatcher(Revision revision);

  /// Returns up to \p count balancers for a leaf that knows no instance list.
  std::vector<SocketAddress> AlternativesFor(InstanceId leaf,
                                             std::size_t count) const;

  /// Live balancers in the instance list, without this process.
  std::size_t balancer_count() const { return m_other_balancers.size(); }

 private:
  struct Balancer {
    InstanceId id{};
    SocketAddress address;
    std::string region;
    std::string zone;
  };

  void Rank();
  void RankForLeaf();
  void RankForBalancer();
  std::vector<const Balancer*> RankByScore(std::uint64_t hash_key) const;

  MeshSettings m_settings;
  bool m_has_instance_list = false;
  /// Latest result of IsWatcher().
  std::optional<std::pair<Revision, bool>> m_cached_watcher;
  std::vector<Balancer> m_other_balancers;
  std::vector<SocketAddress> m_bootstrap_addresses;
  std::vector<LinkPreference> m_preferences;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_BALANCERDIRECTORY_H_
