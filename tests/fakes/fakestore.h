#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

class QTcpSocket;

namespace fireflytrestle {

/// \brief Read-only HTTP server in place of the key-value store: lists its
/// items, and answers a watch once an item has changed or the watch times out.
///
/// Each reader connects to a port of its own, so that a fault can affect some
/// readers only. Needs an event loop.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    /// Connections are reset.
    kResetConnections,
    /// Requests are read and never answered, even after the fault has ended.
    kNoResponse,
    /// Requests are answered with status 503.
    kServiceUnavailable,
    /// Items and changes are sent after kResponseDelayMs.
    kDelayedResponse,
  };

  static constexpr int kResponseDelayMs = 300;

  /// Listens on one port of \p address for each of \p readers.
  explicit FakeStore(const QHostAddress& address, std::size_t readers = 1);

  /// Port that \p reader connects to.
  std::uint16_t port(std::size_t reader = 0) const;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetFault(std::size_t reader, Fault fault);
  /// Returns the readers whose watches of items under \p prefix wait now.
  std::set<std::size_t> Watchers(const QByteArray& prefix) const;
  /// Discards the change history: a watch that starts at an older revision gets
  /// status 410 and its reader must list the items again.
  void DropHistory() { m_oldest_revision = m_revision; }

 private:
  struct Item {
    std::string value;
    bool removed = false;
    std::uint64_t revision = 0;
  };

  struct Reader {
    QTcpServer server;
    Fault fault = Fault::kNone;
  };

  void OnRequest(std::size_t reader, QTcpSocket* socket);
  void AnswerWatches();
  QByteArray FormatItems(const char* name, std::uint64_t after) const;
  void SendResponse(std::size_t reader,
                    QTcpSocket* socket,
                    const QByteArray& body);

  struct Watch {
    std::size_t reader = 0;
    std::uint64_t after = 0;
    QByteArray prefix;
  };

  std::uint64_t m_revision = 0;
  std::uint64_t m_oldest_revision = 0;
  std::map<std::string, Item> m_items;
  std::map<QTcpSocket*, Watch> m_watches;
  /// Declared last and thus destroyed first, because its sockets remove their
  /// entries from m_watches when they are closed.
  std::vector<std::unique_ptr<Reader>> m_readers;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_
