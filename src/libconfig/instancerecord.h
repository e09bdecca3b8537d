#ifndef FIREFLYTRESTLE_LIBCONFIG_INSTANCERECORD_H_
#define FIREFLYTRESTLE_LIBCONFIG_INSTANCERECORD_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

struct VersionedDocument;

/// \brief One entry of the platform's list of running instances, which includes
/// those that are leaving.
struct InstanceRecord {
  InstanceId id{};
  std::string region;
  std::string zone;
  /// Role of the process. Balancers have a mesh address, agents a target
  /// instead.
  enum class Role { kBalancer, kAgent } role = Role::kBalancer;
  SocketAddress mesh_address;
  TargetId target{};
  bool leaving = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// Decodes the entries "instance/<id>" of the instance list. Skips entries that
/// cannot be decoded and adds their number to \p unreadable unless it is null.
std::vector<InstanceRecord> ReadInstances(const VersionedDocument& document,
                                          std::size_t* unreadable = nullptr);

/// Returns the key and JSON text of one record.
std::pair<std::string, std::string> ToEntry(const InstanceRecord& record);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_INSTANCERECORD_H_
