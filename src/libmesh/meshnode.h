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

/// \brief Spreads the configuration and the instance list, chooses who reads
/// the platform, and keeps the view lease.
///
/// Every call appends what is to be done to \p actions. The adapter calls
/// OnTick() at least every 100 ms.
class MeshNode {
 public:
  MeshNode(MeshSettings settings,
           std::unique_ptr<RandomSource> random,
           TimePoint now);
  ~MeshNode();

  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void OnTick(TimePoint now, std::vector<MeshAction>* actions);

  /// A link that this node asked for with OpenLink is open.
  void OnLinkOpened(LinkId link,
                    TimePoint now,
                    std::vector<MeshAction>* actions);

  /// Another process opened a link to this one. Returns the id that names it.
  LinkId OnLinkAccepted(TimePoint now, std::vector<MeshAction>* actions);

  /// A link ended or could not be opened.
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

  /// The configuration in force; revision 0 before the first.
  const Configuration& configuration() const;

  const std::vector<InstanceRecord>& instances() const;

  ViewVersion version() const;

 private:
  class Private;
  std::unique_ptr<Private> m_private;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHNODE_H_
