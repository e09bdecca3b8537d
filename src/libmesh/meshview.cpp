#include "libmesh/meshview.h"

#include <utility>

#include "libconfig/configurationcodec.h"

namespace fireflytrestle {

MeshView::MeshView()
    : m_configuration_store([this](const VersionedDocument& document) {
        auto checked = FromDocument(document);
        if (!checked) {
          return false;
        }
        m_validated_configuration = std::move(checked.value());
        return true;
      }),
      // Any instance list is accepted; ReadInstances() skips the entries that
      // cannot be read.
      m_instance_store([](const VersionedDocument&) { return true; }) {}

ViewVersion MeshView::version() const {
  const VersionedDocument& configuration = m_configuration_store.document();
  const VersionedDocument& instances = m_instance_store.document();
  return {configuration.revision, configuration.digest, instances.revision,
          instances.digest};
}

void MeshView::OnDocumentInstalled(DocumentKind kind) {
  if (kind == DocumentKind::kConfiguration) {
    m_configuration = std::exchange(m_validated_configuration, {});
  } else {
    m_unreadable_instances = 0;
    m_instances =
        ReadInstances(m_instance_store.document(), &m_unreadable_instances);
  }
}

}  // namespace fireflytrestle
