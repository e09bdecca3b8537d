#include "libflow/peerbalancertable.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Agents announce a balancer for 3 s in every report; one greeting may be
/// lost.
constexpr std::chrono::milliseconds kGreetingInterval{1000};
/// A balancer whose announcements began when this one was younger than this
/// hears this one announced for 1 s at least. Without this limit, balancers
/// that start together would send each other greetings.
constexpr std::chrono::milliseconds kMinAge{2000};
constexpr std::chrono::milliseconds kPauseThreshold{200};

}  // namespace

bool PeerBalancerTable::OnAnnounced(const SocketAddress& address,
                                    TimePoint now) {
  if (address == m_self) {
    return false;
  }
  Peer& peer = m_peers[address];
  if (peer.last_announced == TimePoint{} ||
      now - peer.last_announced >= kGreetingInterval) {
    peer.announced_since = now;
  }
  peer.last_announced = now;
  const bool is_due =
      peer.announced_since - m_started >= kMinAge &&
      (peer.greeted == TimePoint{} || now - peer.greeted >= kGreetingInterval);
  if (is_due) {
    peer.greeted = now;
  }
  return is_due;
}

void PeerBalancerTable::OnMessage(const SocketAddress& address) {
  if (address != m_self) {
    Peer& peer = m_peers[address];
    peer.unanswered_since = {};
    peer.unanswered_queries = 0;
  }
}

void PeerBalancerTable::SetSelf(const SocketAddress& address) {
  m_self = address;
  m_peers.erase(address);
}

void PeerBalancerTable::OnQueried(const SocketAddress& address, TimePoint now) {
  const auto position = m_peers.find(address);
  if (position == m_peers.end()) {
    return;
  }
  Peer& peer = position->second;
  if (++peer.unanswered_queries == 1) {
    peer.unanswered_since = now;
  }
}

bool PeerBalancerTable::IsUnanswered(const SocketAddress& address) const {
  const auto position = m_peers.find(address);
  return position != m_peers.end() && position->second.unanswered_queries > 0;
}

void PeerBalancerTable::OnTick(TimePoint now) {
  if (now - m_last_tick > kPauseThreshold) {
    for (auto& [address, peer] : m_peers) {
      peer.unanswered_since = {};
      peer.unanswered_queries = 0;
    }
  }
  m_last_tick = now;
}

void PeerBalancerTable::Prune(TimePoint now) {
  std::erase_if(m_peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.unanswered_queries >= kMinQueries &&
           now - peer.unanswered_since >= kAnswerTimeout;
  });
}

std::vector<SocketAddress> PeerBalancerTable::Addresses() const {
  std::vector<SocketAddress> addresses;
  addresses.reserve(m_peers.size());
  for (const auto& [address, peer] : m_peers) {
    addresses.push_back(address);
  }
  return addresses;
}

std::vector<SocketAddress> PeerBalancerTable::Next(std::size_t count) {
  std::vector<SocketAddress> selected;
  auto next = m_peers.upper_bound(m_last_selected);
  while (selected.size() < std::min(count, m_peers.size())) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    m_last_selected = next->first;
    selected.push_back(next->first);
    ++next;
  }
  return selected;
}

}  // namespace fireflytrestle
