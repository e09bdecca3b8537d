#include "fakes/fakeplatform.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <vector>

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kMaxWaitMs = 5000;

std::uint64_t NumberParameter(mg_connection* connection, const char* name) {
  std::string value;
  return CivetServer::getParam(connection, name, value)
             ? std::strtoull(value.c_str(), nullptr, 10)
             : 0;
}

}  // namespace

FakePlatform::FakePlatform(SocketAddress address) {
  const std::vector<std::string> options{"listening_ports", ToString(address),
                                         "num_threads", "64"};
  m_server = std::make_unique<CivetServer>(options);
  m_server->addHandler("/v1/", this);
}

FakePlatform::~FakePlatform() {
  {
    const std::lock_guard lock(m_mutex);
    m_closing = true;
  }
  m_changed.notify_all();
  m_server.reset();
}

void FakePlatform::Publish(const std::string& path,
                           std::uint64_t revision,
                           std::string text) {
  {
    const std::lock_guard lock(m_mutex);
    m_documents[path] = Document{revision, std::move(text)};
  }
  m_changed.notify_all();
}

void FakePlatform::SetDown(bool down) {
  {
    const std::lock_guard lock(m_mutex);
    m_down = down;
  }
  m_changed.notify_all();
}

bool FakePlatform::handleGet(CivetServer* /*server*/,
                             mg_connection* connection) {
  ++m_calls;
  const std::uint64_t after = NumberParameter(connection, "after");
  const auto wait = std::chrono::milliseconds(
      std::min(NumberParameter(connection, "wait_ms"), kMaxWaitMs));
  const std::string path = mg_get_request_info(connection)->local_uri;
  std::unique_lock lock(m_mutex);
  const Document& document = m_documents[path];
  m_changed.wait_for(lock, wait, [&] {
    return m_closing || m_down || document.revision > after;
  });
  const bool down = m_down || m_closing;
  const std::string text =
      !down && document.revision > after ? document.text : std::string();
  lock.unlock();
  if (text.empty()) {
    mg_printf(connection, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
              down ? "503 Service Unavailable" : "304 Not Modified");
    return true;
  }
  mg_printf(connection,
            "HTTP/1.1 200 OK\r\nContent-Type: "
            "application/json\r\nContent-Length: %zu\r\n\r\n",
            text.size());
  mg_write(connection, text.data(), text.size());
  return true;
}

}  // namespace fireflytrestle
