#include "libsite/changerelay.h"

#include <algorithm>
#include <utility>

namespace fireflytrestle {

namespace {

/// Heartbeats are still sent to a process that has sent nothing for this long:
/// it may be unreachable for a while or restarting.
constexpr std::chrono::seconds kPeerRetention{30};
/// Maximum size of the keys and values in one message. Headers and encoding use
/// the rest of a datagram of 1,400 bytes.
constexpr std::size_t kMaxItemBytes = 1100;
constexpr std::size_t kItemOverheadBytes = 24;

std::size_t SizeOf(const StoreItem& item) {
  return item.key.size() + (item.value ? item.value->size() : 0) +
         kItemOverheadBytes;
}

}  // namespace

void ChangeRelay::OnIntroduced(const SocketAddress& peer, TimePoint now) {
  m_peers[peer].introduced_at = now;
}

void ChangeRelay::OnPeerMessage(const SocketAddress& peer,
                                const SharedChanges& changes,
                                TimePoint now) {
  Peer& entry = m_peers[peer];
  entry.last_message_at = now;
  entry.incarnation = changes.sender;
  entry.reads_store = changes.reads_store;
}

bool ChangeRelay::MustReadStore(TimePoint now) {
  std::size_t preceding_readers = 0;
  for (const auto& [address, peer] : m_peers) {
    const bool reads =
        peer.reads_store && now - peer.last_message_at < kHeartbeatTimeout;
    preceding_readers += reads && peer.incarnation < m_self ? 1 : 0;
  }
  // Hysteresis: a process starts to read only when no process with a lower
  // incarnation reads. Otherwise the loss of one of two readers would briefly
  // make all other processes read.
  m_reading =
      m_reading ? preceding_readers < kReaderCount : preceding_readers == 0;
  return m_reading;
}

std::vector<SocketAddress> ChangeRelay::Peers(TimePoint now) {
  std::erase_if(m_peers, [&](const auto& item) {
    return now - std::max(item.second.last_message_at,
                          item.second.introduced_at) >
           kPeerRetention;
  });
  std::vector<SocketAddress> peers;
  for (const auto& [address, peer] : m_peers) {
    peers.push_back(address);
  }
  return peers;
}

bool ChangeRelay::TakeDueHeartbeat(TimePoint now) {
  if (now < m_next_heartbeat) {
    return false;
  }
  m_next_heartbeat = now + kHeartbeatInterval;
  return true;
}

std::vector<SharedChanges> ChangeRelay::SplitIntoMessages(
    Revision after,
    Revision as_of,
    std::vector<StoreItem> items) {
  std::sort(items.begin(), items.end(),
            [](const StoreItem& a, const StoreItem& b) {
              return a.revision < b.revision;
            });
  std::vector<SharedChanges> messages(1);
  messages.back().reads_store = true;
  messages.back().after = after;
  std::size_t bytes = 0;
  for (StoreItem& item : items) {
    const std::size_t size = SizeOf(item);
    if (size > kMaxItemBytes) {
      return messages;
    }
    if (bytes + size > kMaxItemBytes) {
      const Revision reached = messages.back().as_of;
      messages.emplace_back();
      messages.back().reads_store = true;
      messages.back().after = reached;
      messages.back().as_of = reached;
      bytes = 0;
    }
    bytes += size;
    messages.back().as_of = item.revision;
    messages.back().items.push_back(std::move(item));
  }
  messages.back().as_of = std::max(messages.back().as_of, as_of);
  return messages;
}

}  // namespace fireflytrestle
