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

std::vector<FlowHandover> HandoverStore::Take(const SocketAddress& agent,
                                              Incarnation successor,
                                              std::string* service) {
  const auto position = m_handovers.find(agent);
  if (position == m_handovers.end()) {
    return {};
  }
  Handover& kept = position->second;
  if (kept.incarnation == successor) {
    return {};
  }
  if (kept.successor != Incarnation{} && kept.successor != successor) {
    // Another run has opened flows since.
    m_handovers.erase(position);
    return {};
  }
  kept.successor = successor;
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
