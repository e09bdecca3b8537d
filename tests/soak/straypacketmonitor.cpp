#include "soak/straypacketmonitor.h"

#include <algorithm>
#include <utility>

namespace fireflytrestle {

namespace {

/// A paused balancer may hold a packet for seconds.
constexpr std::chrono::seconds kSentPacketTime{10};
/// Longer than a flow may be idle.
constexpr std::chrono::seconds kFlowLifetime{30};
constexpr std::chrono::seconds kRemovalInterval{1};

}  // namespace

void StrayPacketMonitor::OnSent(const FlowTuple& tuple,
                                std::uint32_t sequence,
                                std::size_t balancer,
                                TimePoint now) {
  Flow& flow = m_flows[tuple];
  flow.last_event = now;
  while (!flow.sent.empty() && now - flow.sent.front().at > kSentPacketTime) {
    flow.sent.pop_front();
  }
  flow.sent.push_back({now, sequence, balancer});
}

void StrayPacketMonitor::OnOwnArrival(const FlowTuple& tuple, TimePoint now) {
  Flow& flow = m_flows[tuple];
  if (m_stray_flows.erase(tuple) != 0) {
    CheckSpan(tuple, &flow, now);
    flow.strays.clear();
  }
  flow.last_own = now;
  flow.last_event = now;
  flow.is_reported = false;
}

void StrayPacketMonitor::OnStrayArrival(const FlowTuple& tuple,
                                        std::uint32_t sequence,
                                        std::size_t owner,
                                        TimePoint now) {
  Flow& flow = m_flows[tuple];
  flow.owner = owner;
  flow.last_event = now;
  ++m_stray_packets;
  if (m_is_in_touch(owner) && AreBalancersInTouch(flow, sequence)) {
    flow.strays.push_back({now, sequence});
    m_stray_flows.insert(tuple);
  }
}

std::vector<StrayPacketMonitor::Finding> StrayPacketMonitor::TakeFindings(
    TimePoint now) {
  std::erase_if(m_stray_flows, [&](const FlowTuple& tuple) {
    Flow& flow = m_flows[tuple];
    CheckSpan(tuple, &flow, now);
    return flow.strays.empty();
  });
  RemoveOldFlows(now);
  return std::exchange(m_findings, {});
}

bool StrayPacketMonitor::AreBalancersInTouch(const Flow& flow,
                                             std::uint32_t sequence) const {
  return std::all_of(
      flow.sent.begin(), flow.sent.end(), [&](const SentPacket& each) {
        return each.sequence != sequence || m_is_in_touch(each.balancer);
      });
}

void StrayPacketMonitor::CheckSpan(const FlowTuple& tuple,
                                   Flow* flow,
                                   TimePoint now) {
  // Arrivals are kept longer than a span, since a span may have ended shortly
  // before this call.
  while (!flow->strays.empty() &&
         now - flow->strays.front().at >= 2 * kFlowTime) {
    flow->strays.pop_front();
  }
  if (now - flow->last_own < kFlowTime || !m_is_in_touch(flow->owner)) {
    return;
  }
  std::vector<TimePoint> arrivals;
  for (const StrayArrival& each : flow->strays) {
    if (AreBalancersInTouch(*flow, each.sequence)) {
      arrivals.push_back(each.at);
    }
  }
  std::size_t count = 0;
  for (auto begin = arrivals.begin(); begin != arrivals.end(); ++begin) {
    const auto end =
        std::lower_bound(begin, arrivals.end(), *begin + kFlowTime);
    count = std::max(count, static_cast<std::size_t>(end - begin));
  }
  m_most_stray_packets = std::max(m_most_stray_packets, count);
  if (count >= kMinStrayPackets && !flow->is_reported) {
    flow->is_reported = true;
    m_findings.push_back({tuple, flow->owner, count});
  }
}

void StrayPacketMonitor::RemoveOldFlows(TimePoint now) {
  if (now - m_last_removal < kRemovalInterval) {
    return;
  }
  m_last_removal = now;
  std::erase_if(m_flows, [&](const auto& item) {
    return now - item.second.last_event > kFlowLifetime &&
           !m_stray_flows.contains(item.first);
  });
}

}  // namespace fireflytrestle
