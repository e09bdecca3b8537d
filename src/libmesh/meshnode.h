#ifndef FIREFLYTRESTLE_LIBMESH_MESHNODE_H_
#define FIREFLYTRESTLE_LIBMESH_MESHNODE_H_

#include <memory>
#include <vector>

#include "libbase/clock.h"
#include "libmesh/meshaction.h"
#include "libmesh/meshsettings.h"
#include "libmesh/viewlease.h"

namespace fireflytrestle {

class RandomSource;
struct Configuration;
struct InstanceRecord;
struct PlatformReadResult;

/// \brief Exchanges the configuration and the instance list with other
/// processes, decides when this process reads the platform, and maintains its
/// view lease.
///
/// Each call appends the actions that the adapter has to execute to
/// \p actions. The adapter calls OnTick() at least every 100 ms.
class MeshNode {
 public:
  MeshNode(MeshSettings settings,
           std::unique_ptr<RandomSource> random,
           TimePoint now);
  ~MeshNode();

  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void OnTick(TimePoint now, std::vector<MeshAction>* actions);

  /// A link that this node requested with OpenLink is open.
  void OnLinkOpened(LinkId link,
                    TimePoint now,
                    std::vector<MeshAction>* actions);

  /// Another process opened a link to this one. Returns the id of the link.
  LinkId OnLinkAccepted(TimePoint now, std::vector<MeshAction>* actions);

  /// A link was closed or could not be opened.
  void OnLinkClosed(LinkId link,
                    TimePoint now,
                    std::vector<MeshAction>* actions);

  void OnMessage(LinkId link,
                 const MeshMessage& message,
                 TimePoint now,
                 std::vector<MeshAction>* actions);

  void OnPlatformRead(const PlatformReadResult& result,
                      TimePoint now,
                      std::vector<MeshAction>* actions);

  const ViewLease& lease() const;

  /// Returns the configuration in force; its revision is 0 before the first
  /// installation.
  const Configuration& configuration() const;

  const std::vector<InstanceRecord>& instances() const;
  /// Number of entries of the instance list that were skipped.
  std::size_t unreadable_instances() const;

  ViewVersion version() const;

 private:
  class Private;
  std::unique_ptr<Private> m_private;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHNODE_H_
