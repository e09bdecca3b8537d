#include "libagent/agentengine.h"

#include <utility>

#include "libagent/agentcore.h"

namespace fireflytrestle {

class AgentEngine::Private : public AgentCore {
 public:
  using AgentCore::AgentCore;
};

AgentEngine::AgentEngine(TargetId target,
                         FlowIdCodec codec,
                         std::unique_ptr<RandomSource> random,
                         TimePoint now)
    : m_private(std::make_unique<Private>(target,
                                          std::move(codec),
                                          std::move(random),
                                          now)) {}

AgentEngine::~AgentEngine() = default;

void AgentEngine::SetConfiguration(const Configuration& configuration,
                                   TimePoint now,
                                   std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->SetConfiguration(configuration);
  m_private->EndCall();
}

void AgentEngine::SetLease(TimePoint until) {
  m_private->SetLease(until);
}

void AgentEngine::OnDatagram(SocketAddress balancer,
                             std::span<const std::uint8_t> datagram,
                             TimePoint now,
                             std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->OnDatagram(balancer, datagram);
  m_private->EndCall();
}

void AgentEngine::OnConnectionOpened(ConnectionId connection,
                                     TimePoint now,
                                     std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->OnConnectionOpened(connection);
  m_private->EndCall();
}

void AgentEngine::OnConnectionClosed(ConnectionId connection,
                                     TimePoint now,
                                     std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->OnConnectionClosed(connection);
  m_private->EndCall();
}

void AgentEngine::OnUpstreamMessage(ConnectionId connection,
                                    const UpstreamMessage& message,
                                    TimePoint now,
                                    std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->OnUpstreamMessage(connection, message);
  m_private->EndCall();
}

void AgentEngine::OnTick(TimePoint now, std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->OnTick();
  m_private->EndCall();
}

void AgentEngine::SetLeaving(bool leaving,
                             TimePoint now,
                             std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->SetLeaving(leaving);
  m_private->EndCall();
}

void AgentEngine::BeginStop(TimePoint now, std::vector<AgentAction>* actions) {
  m_private->BeginCall(now, actions);
  m_private->BeginStop();
  m_private->EndCall();
}

bool AgentEngine::IsStopped(TimePoint now) const {
  return m_private->IsStopped(now);
}

const AgentStatistics& AgentEngine::statistics() const {
  return m_private->statistics();
}

}  // namespace fireflytrestle
