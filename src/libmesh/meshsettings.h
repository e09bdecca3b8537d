#ifndef FIREFLYTRESTLE_LIBMESH_MESHSETTINGS_H_
#define FIREFLYTRESTLE_LIBMESH_MESHSETTINGS_H_

#include <string>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief Identity of a process in the mesh and the balancers it contacts
/// first, from its settings.
struct MeshSettings {
  InstanceId id{};
  std::string region;
  std::string zone;
  /// Agents are leaves.
  bool leaf = false;
  /// Mesh address of this process; unused for leaves.
  SocketAddress mesh_address;
  /// Balancers to contact while there is no instance list.
  std::vector<SocketAddress> seeds;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHSETTINGS_H_
