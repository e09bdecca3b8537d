#include "libnet/udpsocket.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <vector>

namespace fireflytrestle {

namespace {

constexpr SocketAddress kAnyPort{0x7f000001, 0};

std::unique_ptr<UdpSocket> Bind(const SocketAddress& address = kAnyPort) {
  return boost::leaf::try_handle_all(
      [&] { return UdpSocket::Bind(address); },
      [] { return std::unique_ptr<UdpSocket>(); });
}

void Queue(UdpSocket* socket, const SocketAddress& to, std::size_t size) {
  socket->NextBuffer()[0] = static_cast<std::uint8_t>(socket->queued());
  socket->Queue(to, size);
}

std::vector<std::size_t> ReceiveSizes(UdpSocket* socket) {
  std::vector<std::size_t> sizes;
  socket->Receive([&](const SocketAddress&, std::span<const std::uint8_t> d) {
    sizes.push_back(d.size());
  });
  return sizes;
}

}  // namespace

TEST_CASE("Datagrams of one batch keep their sizes, order and source") {
  // Guards against wrong lengths or addresses within a batch.
  const auto a = Bind();
  const auto b = Bind();
  REQUIRE((a && b));
  for (std::size_t size = 1; !a->IsFull(); ++size) {
    Queue(a.get(), b->address(), size);
  }
  a->Flush();
  std::size_t number = 0;
  b->Receive([&](const SocketAddress& source, std::span<const std::uint8_t> d) {
    CHECK(source == a->address());
    CHECK(d[0] == number);
    CHECK(d.size() == ++number);
  });
  CHECK(number == UdpSocket::kBatchDatagrams);
}

TEST_CASE("Discarded datagrams are never sent") {
  // Guards against packets sent after the view lease has expired.
  const auto a = Bind();
  const auto b = Bind();
  REQUIRE((a && b));
  Queue(a.get(), b->address(), 10);
  CHECK(a->DiscardQueued() == 1);
  Queue(a.get(), b->address(), 20);
  a->Flush();
  CHECK(ReceiveSizes(b.get()) == std::vector<std::size_t>{20});
}

TEST_CASE("A datagram that cannot be sent does not block the next one") {
  // Guards against packets to a removed agent that block those queued after
  // them.
  const auto a = Bind();
  const auto b = Bind();
  REQUIRE((a && b));
  Queue(a.get(), {0xffffffff, 9}, 10);
  Queue(a.get(), b->address(), 20);
  a->Flush();
  CHECK(a->send_failures() == 1);
  CHECK(ReceiveSizes(b.get()) == std::vector<std::size_t>{20});
}

TEST_CASE("Binding a UDP port in use is an error") {
  // Guards against two processes that each receive part of the packets of one
  // address.
  const auto a = Bind();
  REQUIRE(a);
  CHECK_FALSE(Bind(a->address()));
}

}  // namespace fireflytrestle
