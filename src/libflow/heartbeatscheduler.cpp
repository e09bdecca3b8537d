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
        next.zone_out != last.zone_out || next.draining != last.draining;
    if (restricted || (agent->reports_wanted() &&
                       next.entry_revision != last.entry_revision)) {
      Send(*agent, now);
    }
  }
}

Duration HeartbeatScheduler::IntervalFor(const AgentPeer& agent,
                                         std::size_t agent_count) {
  if (!agent.reports_wanted() && agent.phase() == AgentPhase::kStopping) {
    return kStoppingInterval;
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

std::vector<SocketAddress> HeartbeatScheduler::Introduced() const {
  std::vector<SocketAddress> introduced;
  for (const auto& [address, at] : m_new_balancers) {
    if (introduced.size() < kMaxNewBalancers) {
      introduced.push_back(address);
    }
  }
  return introduced;
}

void HeartbeatScheduler::OnAgentRestarted(const AgentPeer& agent,
                                          TimePoint now) {
  m_sent.erase(agent.address());
  Send(agent, now);
}

void HeartbeatScheduler::Send(const AgentPeer& agent, TimePoint now) {
  Sent& sent = m_sent[agent.address()];
  const milliseconds interval = agent.wanted_interval();
  if (sent.at == TimePoint{} || interval != sent.requested_interval ||
      now - sent.request_at >= kRequestInterval ||
      (agent.reports_wanted() && !agent.IsReporting())) {
    // The request comes first: the agent answers the first heartbeat with the
    // flows of the balancer's zone, which it knows from the request.
    m_output->SendToNode(agent.address(), ReportRequest{m_zone, interval});
    sent.request_at = now;
    sent.requested_interval = interval;
  }
  sent.at = now;
  sent.heartbeat = agent.MakeHeartbeat(m_self, Introduced(), now);
  m_output->SendToNode(agent.address(), sent.heartbeat);
}

}  // namespace fireflytrestle
