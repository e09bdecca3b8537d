#ifndef FIREFLYTRESTLE_LIBNET_LISTENERPROBE_H_
#define FIREFLYTRESTLE_LIBNET_LISTENERPROBE_H_

#include <QTcpSocket>
#include <chrono>
#include <functional>

namespace fireflytrestle {

struct SocketAddress;

/// \brief Asks once whether a process listens at a TCP address, by connecting
/// and closing at once.
class ListenerProbe {
 public:
  /// \p gone is true if the connection was refused, which means that no process
  /// listens. A connection that is neither made nor refused within the timeout
  /// tells nothing, and \p gone is false.
  using Handler = std::function<void(bool refused)>;

  void Start(const SocketAddress& address,
             std::chrono::milliseconds timeout,
             Handler handler);

 private:
  void Finish(bool refused);

  QTcpSocket m_socket;
  Handler m_handler;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_LISTENERPROBE_H_
