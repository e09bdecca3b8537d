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

/// \brief A TCP connection that carries frames. Belongs to the thread that
/// creates it.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Callbacks {
    std::function<void()> opened;
    /// Returns false for a frame that cannot be understood; the connection is
    /// then closed.
    std::function<bool(std::span<const std::uint8_t> frame)> frame;
    /// The connection ended or could not be opened; not called after Close().
    std::function<void()> closed;
  };

  /// Connects to \p address. Gives up after 2 s, so that an address that does
  /// not answer is reported before its flows run out of time.
  static std::shared_ptr<FrameConnection> Connect(const SocketAddress& address,
                                                  Callbacks callbacks);

  /// Takes over an accepted socket.
  static std::shared_ptr<FrameConnection> Adopt(QTcpSocket* socket,
                                                Callbacks callbacks);

  ~FrameConnection();

  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Sends one frame. A peer that leaves more than kMaxUnsentBytes unread is
  /// disconnected.
  void Send(std::span<const std::uint8_t> body);

  /// Ends the connection without a call of Callbacks::closed. Frames that were
  /// sent before are still delivered if the peer takes them within 1 s.
  void Close();

  SocketAddress peer() const { return m_peer; }

  /// Four of the largest frames.
  static constexpr std::int64_t kMaxUnsentBytes = 4 * kMaxFrameBytes;

 private:
  FrameConnection(QTcpSocket* socket, SocketAddress peer, Callbacks callbacks);

  /// Returns a call of \p method that does nothing once this object is gone.
  std::function<void()> WeakCallback(void (FrameConnection::*method)());

  void ConnectSignals();
  void OnConnected();
  void CheckConnected();
  void Read();
  /// Closes the connection and reports it.
  void CloseAndNotify();

  QTcpSocket* m_socket;
  SocketAddress m_peer;
  Callbacks m_callbacks;
  FrameReader m_reader;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_FRAMECONNECTION_H_
