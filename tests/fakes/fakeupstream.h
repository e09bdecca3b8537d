#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKEUPSTREAM_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKEUPSTREAM_H_

#include <QElapsedTimer>
#include <QTcpServer>
#include <QTimer>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "fakes/fakerequestbody.h"
#include "libbase/socketaddress.h"
#include "libconfig/configuration.h"
#include "libwire/framereader.h"
#include "libwire/upstreammessage.h"

class QTcpSocket;

namespace fireflytrestle {

struct SiteResults;

/// \brief An upstream that answers orders, documents and feeds. Checks requests
/// for misrouting and repeated orders, and counts overloads while it is cold.
class FakeUpstream : public QObject {
 public:
  FakeUpstream(TargetSettings target,
               std::string service,
               SocketAddress address,
               bool cold,
               SiteResults* results);
  ~FakeUpstream() override;

  /// Closes all connections and starts cold under a new identity, as after a
  /// crash and restart of the process.
  void RestartCold();

  /// Reports from now on, in each pong, that it is draining.
  void SetDraining() { m_draining = true; }

  /// Stops answering on all open connections without closing them; new
  /// connections work normally.
  void SilenceConnections();

  const TargetSettings& target() const { return m_target; }
  bool IsWarm() const { return Capacity() >= static_cast<int>(m_target.slots); }
  std::size_t open_feeds() const { return m_feeds.size(); }
  std::size_t open_connections() const { return m_connections.size(); }

  /// Time since the last connection closed; 0 while one is open. Shows how long
  /// a zone that was taken out still has traffic.
  std::chrono::milliseconds IdleTime() const;

 private:
  struct Connection {
    FrameReader reader;
    bool silent = false;
  };

  struct Request {
    QTcpSocket* socket = nullptr;
    UpstreamRequest request;
    FakeRequestBody body;
    QTimer* timer = nullptr;
  };

  struct Feed {
    QTcpSocket* socket = nullptr;
    std::string id;
    std::uint32_t last_event = 0;
  };

  void OnConnection();
  void OnBytes(QTcpSocket* socket);
  void OnMessage(QTcpSocket* socket, const UpstreamMessage& message);
  void OnRequest(QTcpSocket* socket, const UpstreamRequest& request);
  void SendResponse(std::uint64_t number);
  void OnDisconnected(QTcpSocket* socket);
  void SendEvents();
  void Send(QTcpSocket* socket, const UpstreamMessage& message);
  void CheckColdConnectionRate();
  void CountColdOverload(const char* what, std::size_t count);

  /// Number of requests that can run at once now; grows from cold_slots to
  /// slots during the warm-up.
  int Capacity() const;

  TargetSettings m_target;
  std::string m_service;
  SiteResults* m_results;
  QTcpServer m_server;
  std::map<QTcpSocket*, Connection> m_connections;
  std::map<std::uint64_t, Request> m_requests;
  std::map<std::uint64_t, Feed> m_feeds;
  QTimer m_event_timer;
  QElapsedTimer m_since_start;
  QElapsedTimer m_since_activity;
  std::deque<std::int64_t> m_recent_connections;
  std::uint64_t m_start_identity = 0;
  bool m_cold = false;
  bool m_draining = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKEUPSTREAM_H_
