#ifndef FIREFLYTRESTLE_LIBNET_FRAMECONNECTION_H_
#define FIREFLYTRESTLE_LIBNET_FRAMECONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "libbase/socketaddress.h"
#include "libwire/framereader.h"

class QTcpSocket;

namespace fireflytrestle {

/// \brief A TCP connection that carries length-prefixed frames. May be used
/// only on the thread that creates it.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Callbacks {
    std::function<void()> opened;
    /// Handles a received frame. Returns false if it cannot be decoded; the
    /// connection is then closed.
    std::function<bool(std::span<const std::uint8_t> frame)> frame;
    /// Called when the connection has ended or could not be opened, but not
    /// after Close().
    std::function<void()> closed;
  };

  /// Connects to \p address. The attempt fails after 2 s, so that an address
  /// that does not answer is reported before the deadlines of its flows pass.
  static std::shared_ptr<FrameConnection> Connect(const SocketAddress& address,
                                                  Callbacks callbacks);

  /// Takes ownership of an accepted socket.
  static std::shared_ptr<FrameConnection> Adopt(QTcpSocket* socket,
                                                Callbacks callbacks);

  ~FrameConnection();

  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Sends one frame. The connection is closed if more than kMaxUnsentBytes are
  /// then queued because the peer does not read fast enough.
  void Send(std::span<const std::uint8_t> body);

  /// Closes the connection without calling Callbacks::closed. Frames that are
  /// still queued are delivered if the peer reads them within 1 s.
  void Close();

  SocketAddress peer() const { return m_peer; }

  /// Four frames of the largest size.
  static constexpr std::int64_t kMaxUnsentBytes = 4 * kMaxFrameBytes;

 private:
  FrameConnection(QTcpSocket* socket, SocketAddress peer, Callbacks callbacks);

  /// Returns a function that calls \p method, or does nothing if this object
  /// has been destroyed.
  std::function<void()> WeakCallback(void (FrameConnection::*method)());

  void ConnectSignals();
  void OnConnected();
  void CheckConnected();
  void Read();
  /// Closes the connection and calls Callbacks::closed.
  void CloseAndNotify();

  QTcpSocket* m_socket;
  SocketAddress m_peer;
  Callbacks m_callbacks;
  FrameReader m_reader;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FRAMECONNECTION_H_
