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

/// \brief A ranking of balancers and the number of links that a process keeps
/// to the first of them.
struct LinkPreference {
  std::size_t link_count = 0;
  std::vector<SocketAddress> ranked;
};

/// \brief Ranks the known balancers: decides which of them this process keeps
/// links to, and whether this process watches the configuration service.
class BalancerDirectory {
 public:
  explicit BalancerDirectory(const MeshSettings& settings);

  /// Replaces the listed balancers with those in \p instances.
  void Update(const std::vector<InstanceRecord>& instances);

  /// Adds a balancer address from the settings or from another balancer. Such
  /// addresses are the only candidates while there is no instance list and rank
  /// after the listed balancers otherwise.
  void AddBootstrapAddress(const SocketAddress& address);

  const std::vector<LinkPreference>& preferences() const {
    return m_preferences;
  }

  /// Returns whether this process is one of the watchers of its region at
  /// \p revision of the configuration. Watchers read the configuration service
  /// all the time.
  ///
  /// The choice of watchers depends on the revision: a watcher reads the whole
  /// document at each change, which at the design size exceeds the control
  /// traffic intended for one node, so each change is read by different
  /// balancers. Without an instance list the result is false, because otherwise
  /// every process would be a watcher.
  bool IsWatcher(Revision revision);

  /// Returns up to \p count addresses of balancers that \p leaf can open links
  /// to while it has no instance list.
  std::vector<SocketAddress> AlternativesFor(InstanceId leaf,
                                             std::size_t count) const;

  /// Returns the number of balancers in the instance list that are not leaving,
  /// without this process.
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
  /// Latest result of IsWatcher() and the revision it holds for.
  std::optional<std::pair<Revision, bool>> m_cached_watcher;
  std::vector<Balancer> m_other_balancers;
  std::vector<SocketAddress> m_bootstrap_addresses;
  std::vector<LinkPreference> m_preferences;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_BALANCERDIRECTORY_H_
