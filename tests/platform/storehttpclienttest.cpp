#include "platform/storehttpclient.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <optional>

#include "libnet/eventloop.h"
#include "libsite/storefollower.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

/// \brief Answers each request with an empty list of items, filled up to a
/// given size and sent in pieces.
class SlowStore {
 public:
  SlowStore(int body_bytes, int pieces, milliseconds gap)
      : m_pieces(pieces), m_gap(gap) {
    m_body = R"({"items":[],"events":[],"as_of":7,"filler":")";
    m_body += QByteArray(body_bytes, 'x') + "\"}";
    m_server.listen(QHostAddress("127.0.11.1"));
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
      QTcpSocket* socket = m_server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        socket->readAll();
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                      QByteArray::number(m_body.size()) + "\r\n\r\n");
        Send(socket, 0);
      });
    });
  }

  SocketAddress address() const { return {0x7F000B01, m_server.serverPort()}; }

  qsizetype sent() const { return m_sent; }

 private:
  void Send(QTcpSocket* socket, int piece) {
    const qsizetype size = m_body.size() / m_pieces + 1;
    const QByteArray bytes = m_body.mid(piece * size, size);
    m_sent += bytes.size();
    socket->write(bytes);
    if (piece + 1 < m_pieces) {
      QTimer::singleShot(m_gap, socket,
                         [this, socket, piece] { Send(socket, piece + 1); });
    }
  }

  int m_pieces;
  milliseconds m_gap;
  QByteArray m_body;
  QTcpServer m_server;
  qsizetype m_sent = 0;
};

}  // namespace

// Guards against a configuration that never arrives (CONFIG) on a slow link.
TEST_CASE("an answer may take longer than the time-out while it arrives") {
  EnsureEventLoop();
  SlowStore store(300'000, 6, StoreFollower::kAnswerTimeout / 4);
  StoreHttpClient client(store.address());
  std::optional<StoreAnswer> answer;
  client.List("op/", "", [&](const StoreAnswer& each) { answer = each; });
  REQUIRE(RunUntil([&] { return answer.has_value(); }));
  CHECK(answer->outcome == StoreAnswer::Outcome::kItems);
  CHECK(answer->as_of == Revision{7});
}

TEST_CASE("an answer that stops arriving is given up") {
  EnsureEventLoop();
  SlowStore store(300'000, 2, std::chrono::seconds(30));
  StoreHttpClient client(store.address());
  std::optional<StoreAnswer> answer;
  client.List("op/", "", [&](const StoreAnswer& each) { answer = each; });
  REQUIRE(RunUntil([&] { return answer.has_value(); }));
  CHECK(answer->outcome == StoreAnswer::Outcome::kFailed);
}

TEST_CASE("a watch whose answer is too large ends before it is sent") {
  EnsureEventLoop();
  SlowStore store(static_cast<int>(StoreHttpClient::kMaxWatchBytes) + 1, 4,
                  milliseconds(500));
  StoreHttpClient client(store.address());
  std::optional<StoreAnswer> answer;
  client.Watch("op/", Revision{3}, milliseconds(0),
               [&](const StoreAnswer& each) { answer = each; });
  REQUIRE(RunUntil([&] { return answer.has_value(); }));
  CHECK(answer->outcome == StoreAnswer::Outcome::kTooLarge);
  CHECK(store.sent() < StoreHttpClient::kMaxWatchBytes / 2);
}

}  // namespace fireflytrestle
