#include "fakes/fakestore.h"

#include <QTcpSocket>
#include <QTimer>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr char kGone[] = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
constexpr char kUnavailable[] =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Returns a query parameter of a request line; empty if it is missing.
QByteArray TextParameter(const QByteArray& line, const QByteArray& name) {
  const auto begin = line.indexOf(name + "=");
  if (begin < 0) {
    return {};
  }
  const QByteArray value = line.mid(begin + name.size() + 1);
  return QByteArray::fromPercentEncoding(
      value.split('&').front().split(' ').front());
}

/// Returns a numeric query parameter of a request line; 0 if it is missing.
std::uint64_t QueryParameter(const QByteArray& line, const QByteArray& name) {
  return TextParameter(line, name).toULongLong();
}

}  // namespace

FakeStore::FakeStore(const QHostAddress& address, std::size_t readers) {
  for (std::size_t i = 0; i < readers; ++i) {
    m_readers.push_back(std::make_unique<Reader>());
    QTcpServer* server = &m_readers.back()->server;
    server->listen(address);
    QObject::connect(
        server, &QTcpServer::newConnection, server, [this, server, i] {
          QTcpSocket* socket = server->nextPendingConnection();
          QObject::connect(socket, &QTcpSocket::readyRead, socket,
                           [this, socket, i] { OnRequest(i, socket); });
          QObject::connect(socket, &QTcpSocket::disconnected, socket,
                           [this, socket] {
                             m_watches.erase(socket);
                             socket->deleteLater();
                           });
        });
  }
}

std::uint16_t FakeStore::port(std::size_t reader) const {
  return m_readers[reader]->server.serverPort();
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  m_items[key] = {value, false, ++m_revision};
  AnswerWatches();
}

void FakeStore::Remove(const std::string& key) {
  m_items[key] = {"", true, ++m_revision};
  AnswerWatches();
}

void FakeStore::SetFault(std::size_t reader, Fault fault) {
  m_readers[reader]->fault = fault;
  if (fault == Fault::kNone) {
    AnswerWatches();
    return;
  }
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    const auto [socket, waiting] = *watch;
    watch = waiting.reader == reader ? m_watches.erase(watch) : ++watch;
    if (waiting.reader == reader && fault == Fault::kResetConnections) {
      socket->abort();
    }
  }
}

std::set<std::size_t> FakeStore::Watchers(const QByteArray& prefix) const {
  std::set<std::size_t> watchers;
  for (const auto& [socket, watch] : m_watches) {
    if (watch.prefix == prefix) {
      watchers.insert(watch.reader);
    }
  }
  return watchers;
}

void FakeStore::OnRequest(std::size_t reader, QTcpSocket* socket) {
  const QByteArray line = socket->readAll().split('\r').front();
  switch (m_readers[reader]->fault) {
    case Fault::kResetConnections:
      socket->abort();
      return;
    case Fault::kNoResponse:
      return;
    case Fault::kServiceUnavailable:
      socket->write(kUnavailable);
      return;
    case Fault::kNone:
    case Fault::kDelayedResponse:
      break;
  }
  if (line.startsWith("GET /kv-range")) {
    SendResponse(reader, socket, FormatItems("items", 0));
    return;
  }
  const std::uint64_t after = QueryParameter(line, "after");
  if (after < m_oldest_revision) {
    socket->write(kGone);
    return;
  }
  m_watches[socket] = {reader, after, TextParameter(line, "prefix")};
  const int wait_ms = static_cast<int>(QueryParameter(line, "wait_ms"));
  QTimer::singleShot(wait_ms, socket, [this, socket, reader, after] {
    const auto watch = m_watches.find(socket);
    if (watch != m_watches.end() && watch->second.after == after) {
      m_watches.erase(watch);
      SendResponse(reader, socket, FormatItems("events", after));
    }
  });
  AnswerWatches();
}

void FakeStore::AnswerWatches() {
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    if (watch->second.after >= m_revision) {
      ++watch;
      continue;
    }
    const auto [socket, waiting] = *watch;
    watch = m_watches.erase(watch);
    SendResponse(waiting.reader, socket, FormatItems("events", waiting.after));
  }
}

QByteArray FakeStore::FormatItems(const char* name, std::uint64_t after) const {
  QByteArray list;
  const bool events = after > 0;
  for (const auto& [key, item] : m_items) {
    if (item.revision <= after || (item.removed && !events)) {
      continue;
    }
    list += list.isEmpty() ? "" : ",";
    list += "{\"key\":\"" + QByteArray::fromStdString(key) + "\",";
    list += item.removed
                ? QByteArray("\"removed\":true")
                : "\"value\":\"" +
                      QByteArray::fromStdString(item.value).toBase64() + "\"";
    list += ",\"revision\":" + QByteArray::number(quint64{item.revision}) + "}";
  }
  return "{\"" + QByteArray(name) + "\":[" + list +
         "],\"as_of\":" + QByteArray::number(quint64{m_revision}) + "}";
}

void FakeStore::SendResponse(std::size_t reader,
                             QTcpSocket* socket,
                             const QByteArray& body) {
  const QByteArray answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) +
      "\r\n\r\n" + body;
  if (m_readers[reader]->fault == Fault::kDelayedResponse) {
    QTimer::singleShot(kResponseDelayMs, socket,
                       [socket, answer] { socket->write(answer); });
  } else {
    socket->write(answer);
  }
}

}  // namespace fireflytrestle
