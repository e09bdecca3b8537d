#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QTcpSocket;

namespace fireflytrestle {

/// \brief Stand-in of a key-value store that can only be read: lists its items
/// over HTTP, and answers a watch once something has changed.
///
/// Each reader has an address of its own, so that faults may strike some
/// readers only. Needs an event loop.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    /// Connections are reset.
    kResetConnections,
    /// Requests are read and not answered, also after the fault has ended.
    kNoResponse,
    /// Requests are refused with status 503.
    kServiceUnavailable,
    /// Answers come after kSlowAnswer.
    kDelayedResponse,
  };

  static constexpr int kResponseDelayMs = 300;

  /// Listens once for each of \p readers.
  explicit FakeStore(const QHostAddress& address, std::size_t readers = 1);

  /// Port for one reader.
  std::uint16_t port(std::size_t reader = 0) const;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetFault(std::size_t reader, Fault fault);
  /// Forgets the changes so far, so that older watches must list again.
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
  };

  std::uint64_t m_revision = 0;
  std::uint64_t m_oldest_revision = 0;
  std::map<std::string, Item> m_items;
  std::map<QTcpSocket*, Watch> m_watches;
  /// The last member: its sockets drop their watches when they are closed.
  std::vector<std::unique_ptr<Reader>> m_readers;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKESTORE_H_
