#include "libnet/meshtransport.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <boost/leaf/handle_errors.hpp>

#include "eventloop.h"
#include "libnet/frameconnection.h"

namespace fireflytrestle {

namespace {

constexpr SocketAddress kAnyPort{0x7f000001, 0};

/// \brief A transport that records its callbacks.
struct RecordingTransport {
  RecordingTransport() {
    EnsureEventLoop();
    if (!transport.Listen(kAnyPort)) {
      FAIL("cannot listen on 127.0.0.1");
    }
  }

  SocketAddress address() const { return {kAnyPort.ipv4, transport.port()}; }

  std::vector<LinkId> opened, accepted, closed;
  std::vector<MeshMessage> messages;
  MeshTransport transport{{[this](LinkId link) { opened.push_back(link); },
                           [this](const SocketAddress&) {
                             accepted.push_back(LinkId{100 + accepted.size()});
                             return accepted.back();
                           },
                           [this](LinkId link) { closed.push_back(link); },
                           [this](LinkId, const MeshMessage& message) {
                             messages.push_back(message);
                           }}};
};

}  // namespace

TEST_CASE("Mesh links carry messages in both directions and report closing") {
  // Guards against links that lose messages, also those sent just before
  // closing, and against a peer that is not notified of the closing.
  RecordingTransport a;
  RecordingTransport b;
  a.transport.Open(LinkId{1}, b.address());
  CHECK(RunUntil([&] { return !a.opened.empty() && !b.accepted.empty(); }));
  a.transport.Send(LinkId{1}, MeshHello{InstanceId{7}, true});
  MeshHeartbeat heartbeat;
  heartbeat.number = 9;
  b.transport.Send(b.accepted[0], heartbeat);
  CHECK(RunUntil([&] { return a.messages.size() + b.messages.size() == 2; }));
  CHECK(std::get<MeshHello>(b.messages.at(0)).id == InstanceId{7});
  CHECK(std::get<MeshHeartbeat>(a.messages.at(0)).number == 9);
  a.transport.Send(LinkId{1}, MeshHello{InstanceId{8}, true});
  a.transport.Close(LinkId{1});
  CHECK(RunUntil([&] { return !b.closed.empty(); }));
  CHECK(b.messages.size() == 2);
  CHECK(a.closed.empty());
}

TEST_CASE("A link that cannot be opened is reported as closed") {
  // Guards against a node that waits forever for a refused connection.
  RecordingTransport a;
  a.transport.Open(LinkId{1}, {kAnyPort.ipv4, 1});
  CHECK(RunUntil([&] { return !a.closed.empty(); }));
  CHECK(a.opened.empty());
}

TEST_CASE("A frame that cannot be decoded as a mesh message closes its link") {
  // Guards against a peer that occupies a link with malformed messages.
  for (const QByteArray& bytes :
       {QByteArray("\x00\x00\x00\x01\xc1", 5), QByteArray(8, '\xff')}) {
    RecordingTransport a;
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(a.address().ipv4), a.address().port);
    CHECK(RunUntil([&] { return !a.accepted.empty(); }));
    socket.write(bytes);
    CHECK(RunUntil([&] { return !a.closed.empty(); }));
    CHECK(a.messages.empty());
  }
}

TEST_CASE("The connection to a peer that does not read is closed") {
  // Guards against unbounded memory for frames queued to a stalled peer.
  EnsureEventLoop();
  QTcpServer server;
  server.listen(QHostAddress(kAnyPort.ipv4));
  server.pauseAccepting();
  bool opened = false;
  bool closed = false;
  const auto connection = FrameConnection::Connect(
      {kAnyPort.ipv4, server.serverPort()},
      {[&] { opened = true; },
       [](std::span<const std::uint8_t>) { return true; },
       [&] { closed = true; }});
  CHECK(RunUntil([&] { return opened; }));
  const std::vector<std::uint8_t> body(kMaxFrameBytes);
  for (int sent = 0; sent < 100 && !closed; ++sent) {
    connection->Send(body);
    QCoreApplication::processEvents();
  }
  CHECK(closed);
}

}  // namespace fireflytrestle
