#include "libflow/balancertable.h"

#include <algorithm>
#include <tuple>

#include "libflow/agentfailuredetector.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// A heartbeat's statement about the zone is valid for this long; a balancer
/// sends four heartbeats per second.
constexpr milliseconds kHeartbeatTimeout{2000};
/// A silent balancer still gets reports for this long: after a restart it needs
/// them to find upstreams that the store no longer lists.
constexpr milliseconds kReportTimeout{30000};
/// A balancer without use for the agent's reports sends heartbeats at an
/// interval that grows with the number of agents, to minutes for 10,000.
constexpr milliseconds kBalancerTimeout{300000};
/// A balancer is announced as new for this long after it was first seen or has
/// restarted.
constexpr milliseconds kNewBalancerPeriod{3000};
/// Several balancers announce the same one for seconds; it gets one report in
/// this time.
constexpr milliseconds kAnnouncementInterval{1000};

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

bool BalancerTable::OnAnnounced(const SocketAddress& address, TimePoint now) {
  OnIntroduced(address, now);
  Balancer& balancer = m_balancers[address];
  const bool is_due = balancer.last_announced == TimePoint{} ||
                      now - balancer.last_announced >= kAnnouncementInterval;
  if (is_due) {
    balancer.last_announced = now;
  }
  return is_due;
}

void BalancerTable::OnReportRequest(const SocketAddress& address,
                                    const ReportRequest& request,
                                    TimePoint now) {
  const auto [position, added] = m_balancers.try_emplace(address);
  Balancer& balancer = position->second;
  if (added) {
    balancer.first_seen = now;
  }
  balancer.last_heartbeat = now;
  balancer.zone = request.zone;
  balancer.report_interval = request.interval;
  balancer.wants_load = request.wants_load;
}

const BalancerTable::Balancer* BalancerTable::Find(
    const SocketAddress& address) const {
  const auto position = m_balancers.find(address);
  return position == m_balancers.end() ? nullptr : &position->second;
}

std::optional<milliseconds> BalancerTable::ReportInterval(
    const SocketAddress& address) const {
  const Balancer* balancer = Find(address);
  return balancer == nullptr ? std::nullopt : balancer->report_interval;
}

bool BalancerTable::WantsLoad(const SocketAddress& address) const {
  const Balancer* balancer = Find(address);
  return balancer != nullptr && balancer->wants_load;
}

bool BalancerTable::TakeDueReport(const SocketAddress& address, TimePoint now) {
  if (!WantsReports(address, now)) {
    return false;
  }
  const auto position = m_balancers.find(address);
  if (position == m_balancers.end()) {
    return true;
  }
  Balancer& balancer = position->second;
  const milliseconds interval =
      balancer.report_interval.value_or(milliseconds(0));
  // Reports are sent at a fixed rate; a longer interval skips some of them.
  if (interval > AgentFailureDetector::kReportInterval) {
    if (now < balancer.next_report) {
      return false;
    }
    balancer.next_report =
        now + interval - AgentFailureDetector::kReportInterval / 2;
  }
  return true;
}

bool BalancerTable::WantsReports(const SocketAddress& address,
                                 TimePoint now) const {
  const Balancer* balancer = Find(address);
  return balancer == nullptr ||
         (balancer->report_interval != milliseconds(0) &&
          now - balancer->last_heartbeat <= kReportTimeout);
}

bool BalancerTable::CanReceiveFlowsOf(const SocketAddress& address,
                                      const SocketAddress& sender) const {
  const Balancer* receiver = Find(address);
  if (address == sender || receiver == nullptr || receiver->zone.empty()) {
    return true;
  }
  const Balancer* forwarder = Find(sender);
  return forwarder == nullptr || forwarder->zone.empty() ||
         forwarder->zone == receiver->zone;
}

bool BalancerTable::IsZoneOut(TimePoint now) const {
  return std::any_of(
      m_balancers.begin(), m_balancers.end(), [&](const auto& item) {
        return item.second.heartbeat.zone_out &&
               now - item.second.last_heartbeat < kHeartbeatTimeout;
      });
}

std::vector<SocketAddress> BalancerTable::NextNewBalancers(TimePoint now) {
  std::vector<SocketAddress> new_balancers;
  auto next = m_balancers.upper_bound(m_last_announced);
  for (std::size_t i = 0;
       i < m_balancers.size() && new_balancers.size() < kMaxNewBalancers; ++i) {
    if (next == m_balancers.end()) {
      next = m_balancers.begin();
    }
    if (now - next->second.first_seen < kNewBalancerPeriod) {
      new_balancers.push_back(next->first);
      m_last_announced = next->first;
    }
    ++next;
  }
  return new_balancers;
}

std::vector<SocketAddress> BalancerTable::HandoverReceivers(
    const std::string& zone) const {
  using Rank = std::tuple<bool, TimePoint, SocketAddress>;
  std::vector<Rank> ranked;
  for (const auto& [address, balancer] : m_balancers) {
    ranked.emplace_back(balancer.zone == zone, balancer.last_heartbeat,
                        address);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), kMaxHandoverReceivers));
  std::vector<SocketAddress> receivers;
  receivers.reserve(ranked.size());
  for (const auto& [is_near, heard, address] : ranked) {
    receivers.push_back(address);
  }
  return receivers;
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
