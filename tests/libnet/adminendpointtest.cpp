#include "libnet/adminendpoint.h"

#include <doctest/doctest.h>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QThread>
#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <utility>

#include "eventloop.h"
#include "libnet/metricswriter.h"

namespace fireflytrestle {

namespace {

constexpr SocketAddress kAnyPort{0x7f000001, 0};

std::unique_ptr<AdminEndpoint> Open(AdminEndpoint::Sources sources,
                                    const SocketAddress& address = kAnyPort) {
  EnsureEventLoop();
  return boost::leaf::try_handle_all(
      [&] { return AdminEndpoint::Open(address, std::move(sources)); },
      [] { return std::unique_ptr<AdminEndpoint>(); });
}

/// Returns status and body of the response to a GET. Calls \p meanwhile after
/// sending the request.
std::pair<int, QByteArray> Get(
    const AdminEndpoint& endpoint,
    const QString& path,
    const std::function<void()>& meanwhile = [] {}) {
  QNetworkAccessManager manager;
  const QUrl url("http://127.0.0.1:" + QString::number(endpoint.port()) + path);
  const std::unique_ptr<QNetworkReply> reply(manager.get(QNetworkRequest(url)));
  meanwhile();
  CHECK(RunUntil([&] { return reply->isFinished(); }));
  return {reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt(),
          reply->readAll()};
}

}  // namespace

TEST_CASE("The admin endpoint serves metrics, state and readiness") {
  // Guards against a data race: the sources must be called on the thread that
  // owns the endpoint, not on a thread of the HTTP server.
  QThread* const owner = QThread::currentThread();
  bool on_owner = true;
  bool is_ready = false;
  const auto endpoint =
      Open({[] {
              MetricsWriter metrics;
              metrics.Counter("drops_total", "Drops", 3, {{"reason", "a\"b"}});
              return metrics.Write();
            },
            [&] {
              on_owner &= QThread::currentThread() == owner;
              return std::string("{}");
            },
            [&](std::string* reason) {
              *reason = "the view is not confirmed";
              return is_ready;
            }});
  REQUIRE(endpoint);
  CHECK(
      Get(*endpoint, "/metrics")
          .second.contains("fireflytrestle_drops_total{reason=\"a\\\"b\"} 3"));
  CHECK(Get(*endpoint, "/state") == std::pair(200, QByteArray("{}")));
  CHECK(on_owner);
  CHECK(Get(*endpoint, "/ready") ==
        std::pair(503, QByteArray("not ready: the view is not confirmed\n")));
  is_ready = true;
  CHECK(Get(*endpoint, "/ready").first == 200);
  CHECK(Get(*endpoint, "/other").first == 404);
}

TEST_CASE("GET /ready returns 503 while the event loop is blocked") {
  // Guards against a balancer that hangs but still appears ready and therefore
  // receives packets.
  const auto endpoint =
      Open({[] { return std::string(); }, [] { return std::string(); },
            [](std::string*) { return true; }});
  REQUIRE(endpoint);
  const auto block = [] {
    QCoreApplication::processEvents();
    QThread::msleep(1500);
  };
  CHECK(Get(*endpoint, "/ready", block).first == 503);
}

TEST_CASE("Opening the admin endpoint on a port in use is an error") {
  // Guards against a process that starts without its admin endpoint.
  const auto first = Open({});
  REQUIRE(first);
  CHECK_FALSE(Open({}, {kAnyPort.ipv4, first->port()}));
}

}  // namespace fireflytrestle
