#include "libnet/adminendpoint.h"

#include <CivetServer.h>

#include <boost/leaf/error.hpp>
#include <chrono>
#include <future>
#include <utility>

#include "libbase/errorcode.h"
#include "libbase/fault.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::seconds kResponseTimeout{1};
constexpr char kPlainText[] = "text/plain; charset=utf-8";
constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

}  // namespace

struct AdminEndpoint::Response {
  int status = kHttpUnavailable;
  const char* content_type = kPlainText;
  std::string body;
};

/// \brief Serves GET requests for one path on a thread of the HTTP server.
class AdminEndpoint::Handler : public CivetHandler {
 public:
  explicit Handler(std::function<Response()> response)
      : m_respond(std::move(response)) {}

  bool handleGet(CivetServer* /*server*/, mg_connection* connection) override {
    const Response response = m_respond();
    mg_printf(connection,
              "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
              "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
              response.status,
              response.status == kHttpOk ? "OK" : "Service Unavailable",
              response.content_type, response.body.size());
    mg_write(connection, response.body.data(), response.body.size());
    return true;
  }

 private:
  std::function<Response()> m_respond;
};

AdminEndpoint::AdminEndpoint(Sources sources) : m_sources(std::move(sources)) {}

AdminEndpoint::~AdminEndpoint() {
  // Stops the server's threads before the members that they use are destroyed.
  m_server.reset();
}

boost::leaf::result<std::unique_ptr<AdminEndpoint>> AdminEndpoint::Open(
    const SocketAddress& address,
    Sources sources) {
  std::unique_ptr<AdminEndpoint> endpoint(
      new AdminEndpoint(std::move(sources)));
  const std::vector<std::string> options = {
      "listening_ports",    ToString(address),
      "num_threads",        "4",
      "request_timeout_ms", "2000",
      "enable_keep_alive",  "no"};
  try {
    endpoint->m_server = std::make_unique<CivetServer>(options);
  } catch (const CivetException&) {
    return boost::leaf::new_error(
        ErrorCode::kNetwork,
        Fault{ToString(address), "cannot listen on the admin address",
              "choose an address of this machine and a free port"});
  }
  const auto add = [&](const char* path,
                       Response (AdminEndpoint::*response)()) {
    endpoint->m_handlers.push_back(std::make_unique<Handler>(
        [self = endpoint.get(), response] { return (self->*response)(); }));
    endpoint->m_server->addHandler(path, *endpoint->m_handlers.back());
  };
  add("/metrics$", &AdminEndpoint::Metrics);
  add("/state$", &AdminEndpoint::State);
  add("/ready$", &AdminEndpoint::Ready);
  return endpoint;
}

std::uint16_t AdminEndpoint::port() const {
  return static_cast<std::uint16_t>(m_server->getListeningPorts().front());
}

AdminEndpoint::Response AdminEndpoint::RunOnOwnerThread(
    std::function<Response()> collect) {
  auto promise = std::make_shared<std::promise<Response>>();
  std::future<Response> response = promise->get_future();
  m_tasks.Post([promise, collect = std::move(collect)] {
    promise->set_value(collect());
  });
  if (response.wait_for(kResponseTimeout) != std::future_status::ready) {
    return {kHttpUnavailable, kPlainText, "the process does not respond\n"};
  }
  return response.get();
}

AdminEndpoint::Response AdminEndpoint::Metrics() {
  return RunOnOwnerThread([this] {
    return Response{kHttpOk, "text/plain; version=0.0.4; charset=utf-8",
                    m_sources.metrics()};
  });
}

AdminEndpoint::Response AdminEndpoint::State() {
  return RunOnOwnerThread([this] {
    return Response{kHttpOk, "application/json", m_sources.state()};
  });
}

AdminEndpoint::Response AdminEndpoint::Ready() {
  return RunOnOwnerThread([this] {
    std::string reason;
    const bool ready = m_sources.ready(&reason);
    return Response{ready ? kHttpOk : kHttpUnavailable, kPlainText,
                    ready ? "ready\n" : "not ready: " + reason + "\n"};
  });
}

}  // namespace fireflytrestle
