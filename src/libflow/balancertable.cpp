#include "libflow/balancertable.h"

#include <algorithm>

#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// A heartbeat's statement about the zone is valid for this long; a balancer
/// sends four heartbeats per second.
constexpr milliseconds kHeartbeatTimeout{2000};
/// A silent balancer still gets reports for this long: after a restart it needs
/// them to find upstreams that the store no longer lists.
constexpr milliseconds kBalancerTimeout{30000};
/// A balancer is announced as new for this long after it was first seen or has
/// restarted.
constexpr milliseconds kNewBalancerPeriod{3000};

}  // namespace

bool BalancerTable::OnHeartbeat(const SocketAddress& address,
                                const BalancerHeartbeat& heartbeat,
                                TimePoint now) {
  const auto [position, added] = m_balancers.try_emplace(address);
  Balancer& balancer = position->second;
  const bool restarted =
      added || balancer.heartbeat.incarnation != heartbeat.incarnation;
  balancer.heartbeat = heartbeat;
  balancer.last_heartbeat = now;
  if (restarted) {
    balancer.first_seen = now;
  }
  return restarted;
}

bool BalancerTable::OnIntroduced(const SocketAddress& address, TimePoint now) {
  const auto [position, added] = m_balancers.try_emplace(address);
  if (added) {
    position->second.first_seen = now;
    position->second.last_heartbeat = now;
  }
  return added;
}

bool BalancerTable::IsZoneOut(TimePoint now) const {
  return std::any_of(
      m_balancers.begin(), m_balancers.end(), [&](const auto& item) {
        return item.second.heartbeat.zone_out &&
               now - item.second.last_heartbeat < kHeartbeatTimeout;
      });
}

std::vector<SocketAddress> BalancerTable::NewBalancers(TimePoint now) const {
  std::vector<SocketAddress> new_balancers;
  for (const auto& [address, balancer] : m_balancers) {
    if (now - balancer.first_seen < kNewBalancerPeriod &&
        new_balancers.size() < kMaxNewBalancers) {
      new_balancers.push_back(address);
    }
  }
  return new_balancers;
}

std::vector<SocketAddress> BalancerTable::ExpireSilent(TimePoint now) {
  std::vector<SocketAddress> silent;
  std::erase_if(m_balancers, [&](const auto& item) {
    const bool gone = now - item.second.last_heartbeat > kBalancerTimeout;
    if (gone) {
      silent.push_back(item.first);
    }
    return gone;
  });
  return silent;
}

std::vector<SocketAddress> BalancerTable::Addresses() const {
  std::vector<SocketAddress> addresses;
  for (const auto& [address, balancer] : m_balancers) {
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace fireflytrestle
