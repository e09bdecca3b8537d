#ifndef FIREFLYTRESTLE_LIBMESH_MESHVIEW_H_
#define FIREFLYTRESTLE_LIBMESH_MESHVIEW_H_

#include <vector>

#include "libconfig/configuration.h"
#include "libconfig/documentstore.h"
#include "libconfig/instancerecord.h"
#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// \brief Holds both documents in force and their decoded contents.
class MeshView {
 public:
  MeshView();
  MeshView(const MeshView&) = delete;
  MeshView& operator=(const MeshView&) = delete;

  /// \p state is a VersionedDocument or a DocumentDelta.
  template <typename State>
  DocumentStore::Outcome Install(DocumentKind kind, State state) {
    const DocumentStore::Outcome outcome =
        store(kind).Install(std::move(state));
    if (outcome == DocumentStore::Outcome::kInstalled) {
      OnDocumentInstalled(kind);
    }
    return outcome;
  }

  DocumentStore& store(DocumentKind kind) {
    return kind == DocumentKind::kConfiguration ? m_configuration_store
                                                : m_instance_store;
  }

  ViewVersion version() const;
  const Configuration& configuration() const { return m_configuration; }
  const std::vector<InstanceRecord>& instances() const { return m_instances; }
  /// Number of entries of the instance list that were skipped.
  std::size_t unreadable_instances() const { return m_unreadable_instances; }

 private:
  void OnDocumentInstalled(DocumentKind kind);

  /// Decoded configuration of the latest successful validation; takes effect
  /// when its document is installed.
  Configuration m_validated_configuration;
  Configuration m_configuration;
  std::vector<InstanceRecord> m_instances;
  std::size_t m_unreadable_instances = 0;
  DocumentStore m_configuration_store;
  DocumentStore m_instance_store;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHVIEW_H_
