#include "libflow/handoverstore.h"

namespace fireflytrestle {

void HandoverStore::Add(const SocketAddress& agent,
                        const FlowHandover& handover,
                        TimePoint now) {
  Handover& kept = m_handovers[agent];
  if (kept.incarnation != handover.incarnation) {
    kept = {};
    kept.incarnation = handover.incarnation;
  }
  if (handover.round < kept.round) {
    return;
  }
  if (handover.round > kept.round) {
    kept.round = handover.round;
    kept.parts.clear();
  }
  kept.received = now;
  kept.service = handover.service;
  FlowHandover& part = kept.parts[handover.part] = handover;
  part.service = {};
}

void HandoverStore::OnRun(const SocketAddress& agent, Incarnation run) {
  const auto position = m_handovers.find(agent);
  if (position == m_handovers.end() || position->second.incarnation == run) {
    return;
  }
  Handover& kept = position->second;
  if (kept.successor == Incarnation{}) {
    kept.successor = run;
  } else if (kept.successor != run) {
    // The successor has opened flows that the handover does not name.
    m_handovers.erase(position);
  }
}

std::vector<FlowHandover> HandoverStore::Take(const SocketAddress& agent,
                                              Incarnation successor,
                                              std::string* service) {
  OnRun(agent, successor);
  const auto position = m_handovers.find(agent);
  if (position == m_handovers.end() ||
      position->second.incarnation == successor) {
    return {};
  }
  const Handover& kept = position->second;
  *service = kept.service;
  std::vector<FlowHandover> parts;
  for (const auto& [number, part] : kept.parts) {
    parts.push_back(part);
  }
  return parts;
}

void HandoverStore::Prune(TimePoint now) {
  std::erase_if(m_handovers, [&](const auto& item) {
    return now - item.second.received > kRetention;
  });
}

}  // namespace fireflytrestle
