#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKEPLATFORM_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKEPLATFORM_H_

#include <CivetServer.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "libbase/socketaddress.h"

namespace fireflytrestle {

/// \brief HTTP server in place of the platform's configuration service and
/// instance list. Supports reads and long polls only.
class FakePlatform : private CivetHandler {
 public:
  explicit FakePlatform(SocketAddress address);
  ~FakePlatform() override;

  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  /// Publishes \p text at \p path ("/v1/configuration" or "/v1/instances").
  void Publish(const std::string& path,
               std::uint64_t revision,
               std::string text);

  /// While \p down is set, every call is answered with status 503.
  void SetDown(bool down);

  std::uint64_t calls() const { return m_calls; }

 private:
  struct Document {
    std::uint64_t revision = 0;
    std::string text;
  };

  bool handleGet(CivetServer* server, mg_connection* connection) override;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Document> m_documents;
  bool m_down = false;
  bool m_closing = false;
  std::atomic<std::uint64_t> m_calls{0};
  std::unique_ptr<CivetServer> m_server;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKEPLATFORM_H_
