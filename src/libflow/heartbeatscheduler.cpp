#include "libflow/heartbeatscheduler.h"

#include <algorithm>
#include <utility>

#include "libflow/flowlossdetector.h"
#include "libflow/flowoutput.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// A request is repeated after this time although nothing has changed, for
/// agents that missed it.
constexpr milliseconds kRequestInterval{1000};
constexpr milliseconds kCleanupInterval{1000};

}  // namespace

HeartbeatScheduler::HeartbeatScheduler(Incarnation self,
                                       std::string zone,
                                       FlowOutput* output)
    : m_self(self), m_zone(std::move(zone)), m_output(output) {}

void HeartbeatScheduler::OnBalancerIntroduced(const SocketAddress& balancer,
                                              TimePoint now) {
  m_new_balancers[balancer] = now;
}

Duration HeartbeatScheduler::IntervalFor(const AgentPeer& agent,
                                         std::size_t agent_count) const {
  // Only other balancers can tell an agent that is not in the store of a new
  // one.
  if (!agent.IsInStore() && !m_new_balancers.empty()) {
    return std::min<Duration>(kInterval, RegularInterval(agent, agent_count));
  }
  return RegularInterval(agent, agent_count);
}

void HeartbeatScheduler::OnViewChanged(const AgentTable& agents,
                                       TimePoint now) {
  for (const auto& [address, agent] : agents.all()) {
    const auto sent = m_sent.find(address);
    if (sent == m_sent.end()) {
      Send(*agent, now);
      continue;
    }
    const BalancerHeartbeat next = agent->MakeHeartbeat(m_self, {}, now);
    const BalancerHeartbeat& last = sent->second.heartbeat;
    const bool restricted =
        next.zone_out != last.zone_out || next.draining != last.draining ||
        agent->listed_service() != sent->second.requested_service;
    if (restricted || (agent->reports_wanted() &&
                       next.entry_revision != last.entry_revision)) {
      Send(*agent, now);
    }
  }
}

Duration HeartbeatScheduler::RegularInterval(const AgentPeer& agent,
                                             std::size_t agent_count) {
  if (!agent.reports_wanted() && !agent.last_report()) {
    return std::max<Duration>(
        kUnheardInterval,
        std::chrono::seconds(agent_count / kMaxUnheardPerSecond));
  }
  if (agent.phase() == AgentPhase::kStopping) {
    return agent.reports_wanted() || agent.keeps_handover() ? kProbeInterval
                                                            : kStoppingInterval;
  }
  if (!agent.reports_wanted()) {
    return std::max<Duration>(
        kIdleInterval, std::chrono::seconds(agent_count / kMaxIdlePerSecond));
  }
  return agent.IsReporting() ? std::max(kInterval, agent.wanted_interval())
                             : kProbeInterval;
}

void HeartbeatScheduler::OnTick(const AgentTable& agents, TimePoint now) {
  for (const auto& [address, agent] : agents.all()) {
    const Sent& sent = m_sent[address];
    const bool request_changed =
        agent->wanted_interval() != sent.requested_interval;
    if (request_changed ||
        now - sent.at >= IntervalFor(*agent, agents.all().size())) {
      Send(*agent, now);
    }
  }
  if (now < m_next_cleanup) {
    return;
  }
  m_next_cleanup = now + kCleanupInterval;
  std::erase_if(m_sent, [&](const auto& item) {
    return !agents.all().contains(item.first);
  });
  std::erase_if(m_new_balancers, [&](const auto& item) {
    return now - item.second > FlowLossDetector::kDiscoveryTime;
  });
}

std::vector<SocketAddress> HeartbeatScheduler::NextAnnounced(Sent* sent) const {
  std::vector<SocketAddress> announced;
  auto next = m_new_balancers.upper_bound(sent->last_announced);
  while (announced.size() <
         std::min(kMaxNewBalancers, m_new_balancers.size())) {
    if (next == m_new_balancers.end()) {
      next = m_new_balancers.begin();
    }
    announced.push_back(next->first);
    ++next;
  }
  if (!announced.empty()) {
    sent->last_announced = announced.back();
  }
  return announced;
}

void HeartbeatScheduler::OnAgentBack(const AgentPeer& agent, TimePoint now) {
  m_sent.erase(agent.address());
  Send(agent, now);
}

void HeartbeatScheduler::Send(const AgentPeer& agent, TimePoint now) {
  Sent& sent = m_sent[agent.address()];
  const milliseconds interval = agent.wanted_interval();
  if (sent.at == TimePoint{} || interval != sent.requested_interval ||
      agent.listed_service() != sent.requested_service ||
      now - sent.request_at >= kRequestInterval ||
      (agent.reports_wanted() && !agent.IsReporting())) {
    // The request comes first: the agent answers the first heartbeat with the
    // flows of the balancer's zone, which it knows from the request.
    m_output->SendToNode(agent.address(),
                         ReportRequest{m_zone, interval, agent.listed_service(),
                                       agent.entry_revision(), true});
    sent.request_at = now;
    sent.requested_interval = interval;
    sent.requested_service = agent.listed_service();
  }
  sent.at = now;
  sent.heartbeat = agent.MakeHeartbeat(m_self, NextAnnounced(&sent), now);
  m_output->SendToNode(agent.address(), sent.heartbeat);
}

}  // namespace fireflytrestle
