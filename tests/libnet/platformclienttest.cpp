#include "libnet/platformclient.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "eventloop.h"
#include "libbase/logger.h"
#include "libbase/steadyclock.h"
#include "libconfig/configurationcodec.h"
#include "libnet/meshdriver.h"

namespace fireflytrestle {

namespace {

using Outcome = PlatformReadResult::Outcome;

/// \brief A server that sends the same bytes in response to each request.
struct FakePlatform {
  explicit FakePlatform(QByteArray bytes) : answer(std::move(bytes)) {
    EnsureEventLoop();
    server.listen(QHostAddress(QHostAddress::LocalHost));
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      QTcpSocket* socket = server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        request += socket->readAll();
        socket->write(answer);
      });
    });
  }

  PlatformReadResult Read(const ReadPlatformDocument& read) {
    std::optional<PlatformReadResult> result;
    PlatformClient client(
        {0x7f000001, server.serverPort()},
        [&](const PlatformReadResult& each, const std::string& why) {
          result = each;
          problem = why;
        });
    client.Read(read);
    CHECK(RunUntil([&] { return result.has_value(); }));
    return result.value_or(PlatformReadResult{});
  }

  QByteArray answer;
  QByteArray request;
  std::string problem;
  QTcpServer server;
};

QByteArray Http(const char* status, const QByteArray& body) {
  return "HTTP/1.1 " + QByteArray(status) +
         "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" +
         body;
}

QByteArray Document() {
  VersionedDocument document{Revision{4}, 0, {{"zone/1", "{}"}}};
  document.digest = ComputeDigest(document.entries);
  return QByteArray::fromStdString(WriteDocument(document));
}

const ReadPlatformDocument kRead{DocumentKind::kInstances, Revision{3},
                                 std::chrono::milliseconds(200)};

}  // namespace

TEST_CASE("An invalid configuration is counted and not installed") {
  // Guards against an invalid published revision that no metric shows.
  FakePlatform platform(Http("200 OK", Document()));
  const SteadyClock clock;
  Logger logger({}, Logger::StandardErrorOutput("critical"), clock);
  int installs = 0;
  MeshDriver driver(
      {InstanceId{1}, "local", "bole", false, {0x7f000001, 0}, {}},
      {0x7f000001, platform.server.serverPort()}, clock, &logger,
      {[&](DocumentKind kind) {
         installs += kind == DocumentKind::kConfiguration ? 1 : 0;
       },
       [](TimePoint) {}});
  REQUIRE(driver.Start());
  CHECK(RunUntil([&] { return driver.status().configuration.rejects > 0; }));
  CHECK(installs == 0);
}

TEST_CASE(
    "The platform client requests the given document, revision and wait") {
  // Guards against a client that requests the wrong document.
  FakePlatform platform(Http("200 OK", Document()));
  const PlatformReadResult result = platform.Read(kRead);
  CHECK(result.outcome == Outcome::kDocument);
  CHECK(result.kind == DocumentKind::kInstances);
  REQUIRE(result.document);
  CHECK(result.document->revision == Revision{4});
  CHECK(platform.request.startsWith(
      "GET /v1/instances?after=3&wait_ms=200 HTTP/1.1\r\n"));
}

TEST_CASE("Responses without a valid document are unreachable or invalid") {
  // Guards against a platform outage that is mistaken for a valid response.
  const QByteArray large(PlatformClient::kMaxDocumentBytes + 1, ' ');
  const std::pair<QByteArray, Outcome> cases[] = {
      {"HTTP/1.1 304 Not Modified\r\n\r\n", Outcome::kNotModified},
      {Http("500 Error", Document()), Outcome::kUnreachable},
      {Http("204 No Content", ""), Outcome::kUnreachable},
      {"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
       Outcome::kUnreachable},
      {"neither\r\n\r\n", Outcome::kUnreachable},
      {Http("200 OK", Document()).chopped(1), Outcome::kUnreachable},
      {Http("200 OK", "{"), Outcome::kInvalid},
      {Http("200 OK", large), Outcome::kInvalid},
      {"HTTP/1.1 200 OK\r\n\r\n" + large, Outcome::kInvalid}};
  for (const auto& [answer, outcome] : cases) {
    FakePlatform platform(answer);
    CAPTURE(answer.left(80).toStdString());
    CHECK(platform.Read(kRead).outcome == outcome);
    CHECK(platform.problem.empty() == (outcome == Outcome::kNotModified));
  }
}

TEST_CASE("A platform read times out although bytes keep arriving") {
  // Guards against a response that trickles in and blocks later reads.
  FakePlatform platform("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
  QTimer trickle;
  QObject::connect(&trickle, &QTimer::timeout, &trickle, [&] {
    for (QTcpSocket* socket : platform.server.findChildren<QTcpSocket*>()) {
      socket->write(" ");
    }
  });
  trickle.start(50);
  CHECK(platform.Read(kRead).outcome == Outcome::kUnreachable);
}

}  // namespace fireflytrestle
