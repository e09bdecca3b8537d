#ifndef FIREFLYTRESTLE_LIBNET_ADMINENDPOINT_H_
#define FIREFLYTRESTLE_LIBNET_ADMINENDPOINT_H_

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libbase/socketaddress.h"
#include "libnet/taskqueue.h"

class CivetServer;

namespace fireflytrestle {

/// \brief HTTP endpoint for operators: GET /metrics, /state and /ready.
///
/// Responses are built on the thread that creates the endpoint, by its event
/// loop. If that takes longer than 1 s, the response is 503, so a blocked
/// process never appears ready.
class AdminEndpoint {
 public:
  struct Sources {
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    /// Returns the state dump as one JSON document.
    std::function<std::string()> state;
    /// Returns whether the process is ready to serve; sets \p reason if not.
    std::function<bool(std::string* reason)> ready;
  };

  /// Listens on \p address; port 0 selects any free port. Fails with
  /// ErrorCode::kNetwork and a Fault, for example when the port is in use.
  static boost::leaf::result<std::unique_ptr<AdminEndpoint>> Open(
      const SocketAddress& address,
      Sources sources);

  ~AdminEndpoint();

  /// The port that the endpoint listens on.
  std::uint16_t port() const;

 private:
  class Handler;
  struct Response;

  explicit AdminEndpoint(Sources sources);

  Response RunOnOwnerThread(std::function<Response()> collect);
  Response Metrics();
  Response State();
  Response Ready();

  Sources m_sources;
  TaskQueue m_tasks;
  std::vector<std::unique_ptr<Handler>> m_handlers;
  std::unique_ptr<CivetServer> m_server;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_ADMINENDPOINT_H_
