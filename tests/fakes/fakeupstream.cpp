#include "fakes/fakeupstream.h"

#include <QRandomGenerator>
#include <QTcpSocket>
#include <algorithm>
#include <cstdio>

#include "fakes/siteresults.h"
#include "libwire/upstreammessagecodec.h"

namespace fireflytrestle {

namespace {

constexpr std::chrono::milliseconds kServiceTime{20};
constexpr std::chrono::milliseconds kColdServiceTime{60};
constexpr std::chrono::milliseconds kEventInterval{250};
constexpr std::chrono::milliseconds kRateWindow{1000};
constexpr std::size_t kDocumentPieceBytes = 8192;

}  // namespace

FakeUpstream::FakeUpstream(TargetSettings target,
                           std::string service,
                           SocketAddress address,
                           bool cold,
                           SiteResults* results)
    : m_target(std::move(target)),
      m_service(std::move(service)),
      m_results(results),
      m_cold(cold) {
  m_start_identity = QRandomGenerator::global()->generate64();
  m_since_start.start();
  m_since_activity.start();
  connect(&m_server, &QTcpServer::newConnection, this,
          [this] { OnConnection(); });
  if (!m_server.listen(QHostAddress(address.ipv4), address.port)) {
    qFatal("upstream cannot listen on %s", ToString(address).c_str());
  }
  connect(&m_event_timer, &QTimer::timeout, this, [this] { SendEvents(); });
  m_event_timer.start(kEventInterval);
}

FakeUpstream::~FakeUpstream() {
  for (const auto& [socket, connection] : m_connections) {
    socket->disconnect(this);
  }
}

void FakeUpstream::RestartCold() {
  m_start_identity = QRandomGenerator::global()->generate64();
  m_cold = true;
  m_since_start.restart();
  m_recent_connections.clear();
  const auto connections = m_connections;
  for (const auto& [socket, connection] : connections) {
    socket->abort();
  }
}

void FakeUpstream::SilenceConnections() {
  for (auto& [socket, connection] : m_connections) {
    connection.silent = true;
  }
}

std::chrono::milliseconds FakeUpstream::IdleTime() const {
  return std::chrono::milliseconds(
      m_connections.empty() ? m_since_activity.elapsed() : 0);
}

void FakeUpstream::OnConnection() {
  while (QTcpSocket* socket = m_server.nextPendingConnection()) {
    m_connections.try_emplace(socket);
    m_since_activity.restart();
    CheckColdConnectionRate();
    connect(socket, &QTcpSocket::readyRead, this,
            [this, socket] { OnBytes(socket); });
    connect(socket, &QTcpSocket::disconnected, this,
            [this, socket] { OnDisconnected(socket); });
    Send(socket, UpstreamHello{m_start_identity, !IsWarm()});
  }
}

void FakeUpstream::CheckColdConnectionRate() {
  const std::int64_t now = m_since_start.elapsed();
  m_recent_connections.push_back(now);
  while (!m_recent_connections.empty() &&
         m_recent_connections.front() <= now - kRateWindow.count()) {
    m_recent_connections.pop_front();
  }
  // Allows one connection more than the limit, since the one-second windows of
  // the sender and of this upstream need not start at the same time.
  if (!IsWarm() &&
      m_recent_connections.size() > m_target.cold_flows_per_second + 1) {
    CountColdOverload("connections", m_recent_connections.size());
  }
}

void FakeUpstream::CountColdOverload(const char* what, std::size_t count) {
  ++m_results->cold_overloads;
  std::fprintf(stderr, "target %u overloaded %lld ms after its start: %zu %s\n",
               static_cast<unsigned>(m_target.id),
               static_cast<long long>(m_since_start.elapsed()), count, what);
}

void FakeUpstream::OnBytes(QTcpSocket* socket) {
  Connection& connection = m_connections[socket];
  const QByteArray bytes = socket->readAll();
  if (connection.silent) {
    return;
  }
  connection.reader.Append(
      {reinterpret_cast<const std::uint8_t*>(bytes.constData()),
       static_cast<std::size_t>(bytes.size())});
  while (m_connections.contains(socket)) {
    const auto frame = connection.reader.Next();
    UpstreamMessage message;
    if (!frame || DecodeUpstreamMessage(*frame, &message) != WireError::kNone) {
      return;
    }
    OnMessage(socket, message);
  }
}

void FakeUpstream::OnMessage(QTcpSocket* socket,
                             const UpstreamMessage& message) {
  if (std::holds_alternative<UpstreamPing>(message)) {
    Send(socket, UpstreamPong{m_start_identity, m_draining});
    return;
  }
  if (const auto* request = std::get_if<UpstreamRequest>(&message)) {
    m_since_activity.restart();
    OnRequest(socket, *request);
    return;
  }
  if (const auto* cancel = std::get_if<UpstreamCancel>(&message)) {
    m_feeds.erase(cancel->number);
    // Requests start without queueing, so a cancelled request has started.
    Send(socket, UpstreamCancelled{cancel->number, true});
  }
}

void FakeUpstream::OnRequest(QTcpSocket* socket,
                             const UpstreamRequest& request) {
  const auto body = ReadBody(request.body);
  if (!body || body->service != m_service) {
    ++m_results->misrouted;
    return;
  }
  if (request.kind == RequestKind::kFeed) {
    m_feeds[request.number] = Feed{socket, body->id, request.resume_after};
    return;
  }
  const int running = static_cast<int>(m_requests.size());
  if (running >= Capacity()) {
    if (!IsWarm()) {
      CountColdOverload("running requests", m_requests.size());
    }
    Send(socket, UpstreamShed{request.number});
    return;
  }
  m_results->attempts_run.insert(body->AttemptKey());
  if (request.non_idempotent) {
    if (++m_results->order_runs[body->id] > 1) {
      std::fprintf(stderr, "order %s ran again as attempt %d at target %u\n",
                   body->id.c_str(), body->attempt,
                   static_cast<unsigned>(m_target.id));
    }
  }
  auto* timer = new QTimer(this);
  timer->setSingleShot(true);
  connect(timer, &QTimer::timeout, this,
          [this, number = request.number] { SendResponse(number); });
  timer->start(IsWarm() ? kServiceTime : kColdServiceTime);
  m_requests[request.number] = Request{socket, request, *body, timer};
}

void FakeUpstream::SendResponse(std::uint64_t number) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  const Request request = found->second;
  m_requests.erase(found);
  request.timer->deleteLater();
  const std::string text = request.request.kind == RequestKind::kDocument
                               ? DocumentAnswer(request.body.id)
                               : OrderAnswer(request.body.id);
  for (std::size_t start = 0; start < text.size();
       start += kDocumentPieceBytes) {
    const std::string piece = text.substr(start, kDocumentPieceBytes);
    const bool last = start + kDocumentPieceBytes >= text.size();
    Send(request.socket, UpstreamPart{number,
                                      request.request.attempt,
                                      {piece.begin(), piece.end()},
                                      last});
  }
}

void FakeUpstream::OnDisconnected(QTcpSocket* socket) {
  m_connections.erase(socket);
  m_since_activity.restart();
  std::erase_if(m_feeds, [socket](const auto& feed) {
    return feed.second.socket == socket;
  });
  for (auto request = m_requests.begin(); request != m_requests.end();) {
    if (request->second.socket == socket) {
      request->second.timer->deleteLater();
      request = m_requests.erase(request);
    } else {
      ++request;
    }
  }
  socket->deleteLater();
}

void FakeUpstream::SendEvents() {
  for (auto& [number, feed] : m_feeds) {
    ++feed.last_event;
    const std::string text = EventBody(feed.id, feed.last_event);
    Send(feed.socket,
         UpstreamEvent{number, feed.last_event, {text.begin(), text.end()}});
  }
}

void FakeUpstream::Send(QTcpSocket* socket, const UpstreamMessage& message) {
  const auto connection = m_connections.find(socket);
  if (connection == m_connections.end() || connection->second.silent) {
    return;
  }
  const std::vector<std::uint8_t> frame =
      EncodeFrame(EncodeUpstreamMessage(message));
  socket->write(reinterpret_cast<const char*>(frame.data()),
                static_cast<qint64>(frame.size()));
}

int FakeUpstream::Capacity() const {
  if (!m_cold) {
    return static_cast<int>(m_target.slots);
  }
  const double share =
      std::min(1.0, static_cast<double>(m_since_start.elapsed()) /
                        static_cast<double>(std::max<std::int64_t>(
                            1, m_target.warmup.count())));
  const double growth = share * (static_cast<double>(m_target.slots) -
                                 static_cast<double>(m_target.cold_slots));
  return static_cast<int>(m_target.cold_slots + growth);
}

}  // namespace fireflytrestle
