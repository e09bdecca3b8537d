#ifndef FIREFLYTRESTLE_LIBNET_PLATFORMCLIENT_H_
#define FIREFLYTRESTLE_LIBNET_PLATFORMCLIENT_H_

#include <QNetworkAccessManager>
#include <functional>

#include "libbase/socketaddress.h"
#include "libconfig/configurationcodec.h"
#include "libmesh/meshaction.h"
#include "libmesh/platformreadresult.h"

class QNetworkReply;

namespace fireflytrestle {

/// \brief Reads the configuration and the instance list of the platform over
/// HTTP.
class PlatformClient {
 public:
  /// Receives the result and, for a failed read, why it failed.
  using Handler = std::function<void(const PlatformReadResult& result,
                                     const std::string& problem)>;

  PlatformClient(const SocketAddress& platform, Handler handler);

  /// Starts a read; its result goes to the handler. A read that is not over
  /// kTransferTimeout after its wait counts as unreachable, whatever has
  /// arrived by then.
  void Read(const ReadPlatformDocument& read);

  static constexpr std::chrono::milliseconds kTransferTimeout{1500};
  static constexpr qint64 kMaxDocumentBytes = kMaximumDocumentBytes;

 private:
  void Finish(QNetworkReply* reply, DocumentKind kind);

  SocketAddress m_platform;
  Handler m_handler;
  QNetworkAccessManager m_manager;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_PLATFORMCLIENT_H_
