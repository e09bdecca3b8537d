#include "libflow/statusreporter.h"

#include <algorithm>
#include <utility>

#include "libflow/agentfailuredetector.h"
#include "libflow/flowoutput.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

namespace {

/// Minimum interval between two reports. Relevant changes of load are reported
/// at once, within this limit.
constexpr std::chrono::milliseconds kMinInterval{20};

}  // namespace

StatusReporter::StatusReporter(std::vector<SocketAddress> seeds,
                               FlowOutput* output,
                               TimePoint now)
    : m_seeds(std::move(seeds)), m_output(output), m_next(now) {}

void StatusReporter::AddOpened(const ReportedFlow& flow,
                               const SocketAddress& balancer) {
  m_opened.push_back({flow, balancer});
}

bool StatusReporter::Expedite(TimePoint now) {
  m_next = std::max(now, m_last + kMinInterval);
  return IsDue(now);
}

void StatusReporter::Send(const AgentStatus& status,
                          BalancerTable* balancers,
                          TimePoint now) {
  m_last = now;
  m_next = now + AgentFailureDetector::kReportInterval;
  const std::vector<OpenedFlow> opened = std::exchange(m_opened, {});
  std::vector<ReportedFlow> flows;
  for (const SocketAddress& balancer : Receivers(*balancers)) {
    flows.clear();
    for (const OpenedFlow& each : opened) {
      if (balancers->CanReceiveFlowsOf(balancer, each.balancer)) {
        flows.push_back(each.flow);
      }
    }
    if (balancers->TakeDueReport(balancer, now) || !flows.empty()) {
      SendTo(balancer, status, flows, *balancers);
    }
  }
}

void StatusReporter::SendToAll(const AgentStatus& status,
                               const BalancerTable& balancers) {
  std::vector<SocketAddress> receivers = balancers.Addresses();
  for (const SocketAddress& seed : m_seeds) {
    if (std::find(receivers.begin(), receivers.end(), seed) ==
        receivers.end()) {
      receivers.push_back(seed);
    }
  }
  for (const SocketAddress& balancer : receivers) {
    SendTo(balancer, status, {}, balancers);
  }
}

std::vector<SocketAddress> StatusReporter::Receivers(
    const BalancerTable& balancers) const {
  std::vector<SocketAddress> receivers = balancers.Addresses();
  return receivers.empty() ? m_seeds : receivers;
}

void StatusReporter::SendTo(const SocketAddress& balancer,
                            AgentStatus status,
                            const std::vector<ReportedFlow>& flows,
                            const BalancerTable& balancers) {
  status.report_interval = balancers.ReportInterval(balancer);
  if (!balancers.WantsLoad(balancer)) {
    status.load.reset();
  }
  auto next = flows.begin();
  do {
    const auto count = std::min<std::ptrdiff_t>(
        flows.end() - next, static_cast<std::ptrdiff_t>(kMaxFlowsPerStatus));
    status.opened.assign(next, next + count);
    next += count;
    status.number = ++m_number;
    m_output->SendToNode(balancer, status);
  } while (next != flows.end());
}

}  // namespace fireflytrestle
