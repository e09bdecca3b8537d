#include "libnet/udpsocket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <string>

#include "libbase/errorcode.h"
#include "libbase/fault.h"

namespace fireflytrestle {

namespace {

sockaddr_in ToSockaddr(const SocketAddress& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  raw.sin_addr.s_addr = htonl(address.ipv4);
  return raw;
}

SocketAddress FromSockaddr(const sockaddr_in& raw) {
  return {ntohl(raw.sin_addr.s_addr), ntohs(raw.sin_port)};
}

boost::leaf::error_id SystemError(const SocketAddress& address,
                                  const std::string& problem) {
  return boost::leaf::new_error(
      ErrorCode::kNetwork,
      Fault{ToString(address), problem + ": " + std::strerror(errno),
            "choose an address of this machine and a free port"});
}

}  // namespace

/// \brief Message headers and buffers for one batch in each direction.
struct UdpSocket::Batches {
  struct Batch {
    std::array<std::array<std::uint8_t, kMaxBytes>, kBatchDatagrams> data{};
    std::array<sockaddr_in, kBatchDatagrams> addresses{};
    std::array<iovec, kBatchDatagrams> vectors{};
    std::array<mmsghdr, kBatchDatagrams> headers{};

    Batch() {
      for (std::size_t i = 0; i < kBatchDatagrams; ++i) {
        vectors[i] = {data[i].data(), kMaxBytes};
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
      }
    }
  };

  Batch in;
  Batch out;
  std::size_t queued = 0;
};

UdpSocket::UdpSocket(int descriptor, SocketAddress address)
    : m_descriptor(descriptor),
      m_address(address),
      m_batches(std::make_unique<Batches>()) {}

UdpSocket::~UdpSocket() {
  close(m_descriptor);
}

boost::leaf::result<std::unique_ptr<UdpSocket>> UdpSocket::Bind(
    const SocketAddress& address,
    int send_buffer_bytes) {
  const int descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return SystemError(address, "cannot open a UDP socket");
  }
  std::unique_ptr<UdpSocket> opened(new UdpSocket(descriptor, address));
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kBufferBytes,
             sizeof(kBufferBytes));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes,
             sizeof(send_buffer_bytes));
  sockaddr_in raw = ToSockaddr(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
      0) {
    return SystemError(address, "cannot bind the UDP address");
  }
  socklen_t size = sizeof(raw);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&raw), &size) != 0) {
    return SystemError(address, "cannot read the bound UDP address");
  }
  opened->m_address = FromSockaddr(raw);
  return opened;
}

boost::leaf::result<std::unique_ptr<UdpSocket>> UdpSocket::Duplicate() const {
  const int descriptor = dup(m_descriptor);
  if (descriptor < 0) {
    return SystemError(m_address, "cannot duplicate the UDP socket");
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(descriptor, m_address));
}

std::size_t UdpSocket::Receive(const Handler& handler) {
  Batches::Batch& in = m_batches->in;
  for (mmsghdr& header : in.headers) {
    header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  const int received = recvmmsg(m_descriptor, in.headers.data(),
                                kBatchDatagrams, MSG_DONTWAIT, nullptr);
  const std::size_t count =
      received > 0 ? static_cast<std::size_t>(received) : 0;
  for (std::size_t i = 0; i < count; ++i) {
    if ((in.headers[i].msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      ++m_oversized;
      continue;
    }
    handler(FromSockaddr(in.addresses[i]),
            std::span(in.data[i].data(), in.headers[i].msg_len));
  }
  return count;
}

bool UdpSocket::IsFull() const {
  return m_batches->queued == kBatchDatagrams;
}

std::span<std::uint8_t> UdpSocket::NextBuffer() {
  return m_batches->out.data[m_batches->queued];
}

void UdpSocket::Queue(const SocketAddress& destination, std::size_t size) {
  Batches::Batch& out = m_batches->out;
  const std::size_t slot = m_batches->queued++;
  out.addresses[slot] = ToSockaddr(destination);
  out.vectors[slot].iov_len = size;
  out.headers[slot].msg_hdr.msg_namelen = sizeof(sockaddr_in);
}

std::size_t UdpSocket::queued() const {
  return m_batches->queued;
}

void UdpSocket::Flush() {
  mmsghdr* headers = m_batches->out.headers.data();
  std::size_t next = 0;
  while (next < m_batches->queued) {
    const int sent =
        sendmmsg(m_descriptor, headers + next,
                 static_cast<unsigned>(m_batches->queued - next), MSG_DONTWAIT);
    if (sent > 0) {
      next += static_cast<std::size_t>(sent);
      continue;
    }
    // The kernel did not accept the first datagram: the send buffer is full, or
    // the error reports that an earlier datagram reached a closed port. The
    // datagram is dropped, because peers retransmit.
    ++m_send_failures;
    ++next;
  }
  m_batches->queued = 0;
}

std::size_t UdpSocket::DiscardQueued() {
  const std::size_t discarded = m_batches->queued;
  m_batches->queued = 0;
  return discarded;
}

}  // namespace fireflytrestle
