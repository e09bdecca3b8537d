#include "libsite/changerelay.h"

#include <algorithm>
#include <utility>

#include "libbase/randomsource.h"

namespace fireflytrestle {

namespace {

/// A process is kept for this long after its last message or introduction: it
/// may be unreachable for a while, and readers name each of 1,000 processes
/// only once a minute.
constexpr std::chrono::seconds kPeerRetention{120};
/// Readers name only processes that have sent a message this recently, so that
/// ended processes are forgotten.
constexpr std::chrono::seconds kNamedPeerAge{5};
/// Maximum size of the keys and values in one message. Headers and encoding use
/// the rest of a datagram of 1,400 bytes.
constexpr std::size_t kMaxItemBytes = 1100;
constexpr std::size_t kItemOverheadBytes = 24;
/// Longest delay before a process takes over if there is no reader.
constexpr std::chrono::milliseconds kMaxFirstDelay{800};
/// The same if there is one reader, which suffices for a while.
constexpr std::chrono::milliseconds kMaxSecondDelay{5000};
constexpr std::uint64_t kDelaySteps = 1000;

std::size_t SizeOf(const StoreItem& item) {
  return item.key.size() + (item.value ? item.value->size() : 0) +
         kItemOverheadBytes;
}

}  // namespace

ChangeRelay::ChangeRelay(Incarnation self, RandomSource* random)
    : m_self(self),
      m_delay_share(static_cast<double>(random->Below(kDelaySteps)) /
                    static_cast<double>(kDelaySteps)) {}

void ChangeRelay::OnIntroduced(const SocketAddress& peer, TimePoint now) {
  if (peer != m_own_address) {
    m_peers[peer].introduced_at = now;
  }
}

void ChangeRelay::OnPeerMessage(const SocketAddress& peer,
                                const SharedChanges& changes,
                                TimePoint now) {
  if (changes.sender == m_self) {
    // Third processes introduce this process to itself as well.
    m_own_address = peer;
    m_peers.erase(peer);
    return;
  }
  for (const SocketAddress& named : changes.peers) {
    OnIntroduced(named, now);
  }
  Peer& entry = m_peers[peer];
  entry.last_message_at = now;
  entry.incarnation = changes.sender;
  entry.reads_store = changes.reads_store;
}

bool ChangeRelay::MustReadStore(TimePoint now) {
  std::size_t readers = 0;
  std::size_t preceding_readers = 0;
  for (const auto& [address, peer] : m_peers) {
    if (peer.IsActiveReader(now)) {
      ++readers;
      preceding_readers += peer.incarnation < m_self ? 1 : 0;
    }
  }
  if (m_reading) {
    m_reading = preceding_readers < kReaderCount;
    return m_reading;
  }
  if (!m_started) {
    m_started = now;
  }
  // The messages of the present readers reach a new process within the
  // time-out.
  const bool none = readers == 0 && now - *m_started >= kHeartbeatTimeout;
  m_none_since = none ? m_none_since.value_or(now) : std::optional<TimePoint>();
  m_too_few_since = readers < kReaderCount ? m_too_few_since.value_or(now)
                                           : std::optional<TimePoint>();
  const auto has_passed = [&](const std::optional<TimePoint>& since,
                              std::chrono::milliseconds max_delay) {
    return since && now - *since >= max_delay * m_delay_share;
  };
  m_reading = has_passed(m_none_since, kMaxFirstDelay) ||
              (readers > 0 && has_passed(m_too_few_since, kMaxSecondDelay));
  if (m_reading) {
    m_none_since.reset();
    m_too_few_since.reset();
  }
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

std::vector<SocketAddress> ChangeRelay::HeartbeatReceivers(TimePoint now) {
  if (m_reading) {
    return Peers(now);
  }
  std::vector<SocketAddress> readers;
  for (const auto& [address, peer] : m_peers) {
    if (peer.IsActiveReader(now)) {
      readers.push_back(address);
    }
  }
  return readers;
}

std::vector<SocketAddress> ChangeRelay::NextPeerSample(TimePoint now) {
  std::vector<SocketAddress> sample;
  if (!m_reading) {
    return sample;
  }
  auto next = m_peers.upper_bound(m_last_sampled);
  for (std::size_t i = 0; i < m_peers.size() && sample.size() < kMaxSharedPeers;
       ++i) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    if (now - next->second.last_message_at < kNamedPeerAge) {
      sample.push_back(next->first);
    }
    m_last_sampled = next->first;
    ++next;
  }
  return sample;
}

bool ChangeRelay::TakeDueHeartbeat(bool reads_store, TimePoint now) {
  if (now < m_next_heartbeat && reads_store == m_claimed_to_read) {
    return false;
  }
  m_claimed_to_read = reads_store;
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
      messages.emplace_back();
      messages.back().reads_store = true;
      messages.back().after = as_of;
      messages.back().as_of = as_of;
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
