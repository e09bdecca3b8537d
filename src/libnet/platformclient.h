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
  /// Receives the result and, if the read failed, the reason in \p problem.
  using Handler = std::function<void(const PlatformReadResult& result,
                                     const std::string& problem)>;

  PlatformClient(const SocketAddress& platform, Handler handler);

  /// Starts a read and passes its result to the handler. A read that has not
  /// finished kTransferTimeout after its wait is aborted and reported as
  /// unreachable, even if part of the response has arrived.
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
