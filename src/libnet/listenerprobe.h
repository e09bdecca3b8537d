#ifndef FIREFLYTRESTLE_LIBNET_LISTENERPROBE_H_
#define FIREFLYTRESTLE_LIBNET_LISTENERPROBE_H_

#include <QTcpSocket>
#include <chrono>
#include <functional>

namespace fireflytrestle {

struct SocketAddress;

/// \brief Probes once whether a process listens at a TCP address, by connecting
/// and closing the connection at once.
class ListenerProbe {
 public:
  /// The argument is true if the connection was refused, which means that no
  /// process listens. It is false if the connection was opened, failed for
  /// another reason or did neither within the timeout.
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
