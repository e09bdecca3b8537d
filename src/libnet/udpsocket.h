#ifndef FIREFLYTRESTLE_LIBNET_UDPSOCKET_H_
#define FIREFLYTRESTLE_LIBNET_UDPSOCKET_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief A bound, non-blocking UDP socket that receives and sends in batches.
///
/// No call allocates after Bind().
class UdpSocket {
 public:
  using Handler = std::function<void(const SocketAddress& source,
                                     std::span<const std::uint8_t> datagram)>;

  /// Binds \p address; port 0 selects any free port. \p send_buffer_bytes
  /// bounds the data that is queued in the kernel for a slow link. Fails with
  /// ErrorCode::kNetwork and a Fault, for example when the port is in use.
  static boost::leaf::result<std::unique_ptr<UdpSocket>> Bind(
      const SocketAddress& address,
      int send_buffer_bytes = kBufferBytes);

  ~UdpSocket();

  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Returns a second object for the same socket, for use on another thread.
  /// Each datagram is received by only one of the objects.
  boost::leaf::result<std::unique_ptr<UdpSocket>> Duplicate() const;

  /// File descriptor to poll for received datagrams.
  int descriptor() const { return m_descriptor; }

  /// The address that the socket is bound to.
  SocketAddress address() const { return m_address; }

  /// Receives one batch of datagrams, passes each to \p handler and returns
  /// their number. Datagrams longer than kMaxBytes are not passed on, but are
  /// included in the number and in oversized().
  std::size_t Receive(const Handler& handler);

  /// Returns whether the batch is full, so that Flush() or DiscardQueued() must
  /// be called before the next datagram is queued.
  bool IsFull() const;

  /// Returns a buffer of kMaxBytes for the next datagram to send.
  std::span<std::uint8_t> NextBuffer();

  /// Queues the first \p size bytes of the buffer that NextBuffer() returns.
  void Queue(const SocketAddress& destination, std::size_t size);

  std::size_t queued() const;

  /// Sends all queued datagrams. A datagram that the kernel does not accept is
  /// dropped and counted in send_failures().
  void Flush();

  /// Drops all queued datagrams unsent and returns their number.
  std::size_t DiscardQueued();

  std::uint64_t send_failures() const { return m_send_failures; }
  std::uint64_t oversized() const { return m_oversized; }

  /// Largest datagram. It exceeds the 1296 bytes of the largest envelope.
  static constexpr std::size_t kMaxBytes = 1500;
  static constexpr std::size_t kBatchDatagrams = 32;
  /// Default size of the kernel's socket buffers. It holds about 3,000
  /// datagrams, 0.1 s of traffic at the design rate of a balancer. The kernel
  /// grants less if its own limit is lower.
  static constexpr int kBufferBytes = 4 << 20;

 private:
  struct Batches;

  UdpSocket(int descriptor, SocketAddress address);

  int m_descriptor;
  SocketAddress m_address;
  std::unique_ptr<Batches> m_batches;
  std::uint64_t m_send_failures = 0;
  std::uint64_t m_oversized = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_UDPSOCKET_H_
