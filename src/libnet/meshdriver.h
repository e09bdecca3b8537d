#ifndef FIREFLYTRESTLE_LIBNET_MESHDRIVER_H_
#define FIREFLYTRESTLE_LIBNET_MESHDRIVER_H_

#include <QTimer>
#include <boost/leaf/result.hpp>
#include <functional>
#include <vector>

#include "libbase/clock.h"
#include "libmesh/meshnode.h"
#include "libnet/actionqueue.h"
#include "libnet/meshstatus.h"
#include "libnet/meshtransport.h"
#include "libnet/platformclient.h"

namespace fireflytrestle {

class Logger;

/// \brief Runs a MeshNode on the event loop of the control thread.
///
/// Passes link events, platform responses and timer ticks to the node, executes
/// the actions that it returns and records its status for metrics.
class MeshDriver {
 public:
  struct Callbacks {
    /// Called when a newer document has come into effect.
    std::function<void(DocumentKind)> installed;
    /// Called when the expiry time of the view lease has changed.
    std::function<void(TimePoint until)> lease_extended;
  };

  MeshDriver(const MeshSettings& settings,
             const SocketAddress& platform,
             const Clock& clock,
             Logger* logger,
             Callbacks callbacks);

  /// Starts the tick timer and, unless the process is a leaf, accepts links.
  /// Fails with ErrorCode::kNetwork and a Fault if the mesh address cannot be
  /// bound.
  boost::leaf::result<void> Start();

  const MeshNode& node() const { return m_node; }
  const MeshStatus& status() const { return m_status; }
  const MeshTransport::Traffic& traffic() const {
    return m_transport.traffic();
  }

 private:
  using Actions = std::vector<MeshAction>;

  /// Makes a call to the node, executes the actions that it returns and records
  /// changes of the lease.
  void Perform(const std::function<void(TimePoint, Actions*)>& call);
  void Execute(const OpenLink& action);
  void Execute(const CloseLink& action);
  void Execute(const SendOnLink& action);
  void Execute(const ReadPlatformDocument& action);
  void Execute(const InstallDocument& action);

  void OnLinkOpened(LinkId link);
  LinkId OnLinkAccepted(const SocketAddress& peer);
  void OnLinkClosed(LinkId link);
  void OnMessage(LinkId link, const MeshMessage& message);
  void OnPlatformRead(const PlatformReadResult& result,
                      const std::string& problem);
  void RecordMessage(LinkId link, const MeshMessage& message, TimePoint now);
  DocumentStatus& StatusOf(DocumentKind kind);
  /// Counts and logs \p document as rejected if it is newer than the one in
  /// effect. Must be called after the node has processed \p document: it would
  /// then be in effect if it were valid.
  void RecordIfRejected(DocumentKind kind, const VersionedDocument& document);
  void RecordServiceContact(TimePoint contact);
  void RecordLease(TimePoint now);

  MeshSettings m_settings;
  const Clock& m_clock;
  Logger* m_logger;
  Callbacks m_callbacks;
  MeshNode m_node;
  MeshTransport m_transport;
  PlatformClient m_platform;
  MeshStatus m_status;
  ActionQueue<MeshAction> m_actions;
  TimePoint m_lease_until{};
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_MESHDRIVER_H_
