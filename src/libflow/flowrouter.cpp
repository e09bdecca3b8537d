#include "libflow/flowrouter.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "libflow/agentselector.h"
#include "libflow/flowoutput.h"
#include "libflow/flowpacket.h"
#include "libflow/handoversender.h"
#include "libflow/nodemessagecodec.h"
#include "libflow/packetcodec.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;
using Kind = FlowDecision::Kind;
using State = FlowEntry::State;

constexpr milliseconds kSweepInterval{1000};
/// A copy of a SYN that arrives this long after the placement shows that the
/// agent does not answer: callers repeat a SYN after 200 ms, an answer takes
/// under 20 ms.
constexpr milliseconds kSynAnswerTimeout{120};
/// Callers send a copy of a SYN no sooner than this; if it has not arrived
/// here, another balancer may have got it.
constexpr milliseconds kFirstCopyTime{200};
/// Agents report a flow within 100 ms of its opening, and again when its
/// packets come through another balancer. A report that comes this long after
/// the last packet here means that the flow has moved.
constexpr milliseconds kMovedFlowTime{200};
/// The next stage of a search begins after this time if the present one has not
/// ended: an agent answers a query within milliseconds.
constexpr milliseconds kStageTimeout{30};
/// Searches among fewer agents of the route's services are cheap: these are all
/// queried in the first stage, and the search is not deferred.
constexpr std::size_t kMinStagedAgents = 40;
constexpr std::size_t kMinFirstStageAgents = 4;
/// Time of a deferred search: agents report a flow that has just opened to the
/// balancers of its zone within 100 ms. A caller with an idempotent request
/// loses little if its flow is reset all the same, and gains the rest of its
/// latency objective if it learns of the loss soon.
constexpr milliseconds kDeferTime{100};
constexpr milliseconds kIdempotentDeferTime{20};
/// Longest time of a deferred search while the first searches of a recovery
/// have not shown yet whether all flows are lost.
constexpr milliseconds kMaxDeferTime{500};
/// An agent that has not answered a query after this time may have been lost.
constexpr milliseconds kQueryTimeout{100};
/// Agents answer the first heartbeat at once; those that have not done so
/// within this time are assumed to be down.
constexpr milliseconds kFirstReportTimeout{150};
/// Searches may use the bandwidth limit of this many seconds in one burst.
constexpr double kSearchBurstSeconds = 0.25;
/// Bytes that a packet to an agent is longer than the caller's packet: the
/// enclosing message and the headers of UDP and IP.
constexpr std::size_t kDeliverOverheadBytes = 100;
/// Bytes of a query with the headers of UDP and IP.
constexpr std::size_t kQueryBytes = 70;
/// Maximum number of upstreams that do not hold a flow which its packets may
/// reach during a search.
constexpr std::size_t kMaxStrayProbes = 2;
/// Maximum number of agents that one SYN is sent to.
constexpr std::uint8_t kMaxPlacements = 4;
/// A balancer that has named the owner of a flow is asked again after this
/// time, in case the owner is still away.
constexpr milliseconds kOwnerQueryInterval{500};
/// An agent that another balancer has named, and that does not report, is
/// waited for no longer than a planned restart takes.
constexpr milliseconds kNamedOwnerTimeout{6000};
/// Number of balancers that are asked about overdue agents at each tick. An
/// agent is asked twice before it counts as silent, so that six hear of it.
constexpr std::size_t kMaxPeersAboutOverdue = 3;
/// Limit on repeated placements: 30 % of the new flows, and a constant minimum
/// rate.
constexpr double kRetryShare = 0.3;
constexpr double kMinRetriesPerSecond = 20.0;

FlowClass ClassOf(const RouteSettings& route) {
  return {route.idempotent, route.long_lived, route.latency_objective,
          route.timeout, route.priority};
}

bool Remove(std::vector<AgentPeerPtr>* agents, const AgentPeerPtr& agent) {
  return std::erase(*agents, agent) > 0;
}

}  // namespace

FlowRouter::FlowRouter(Settings settings,
                       const PacketCodec& codec,
                       FlowOutput* output,
                       TimePoint now)
    : m_settings(std::move(settings)),
      m_codec(codec),
      m_output(output),
      m_view(std::make_shared<SiteView>()),
      m_agents(m_settings.agent_port),
      m_subscriptions(static_cast<std::uint64_t>(m_settings.incarnation),
                      m_settings.zone),
      m_heartbeats(m_settings.incarnation, m_settings.zone, output),
      m_peers(now),
      m_loss_detector(m_agents),
      m_retry_budget(kRetryShare, kMinRetriesPerSecond, now),
      m_search_bytes(static_cast<double>(m_settings.search_bytes_per_second),
                     static_cast<double>(m_settings.search_bytes_per_second) *
                         kSearchBurstSeconds,
                     now),
      m_next_sweep(now + kSweepInterval) {}

void FlowRouter::InstallView(std::shared_ptr<const SiteView> view,
                             TimePoint now) {
  m_view = std::move(view);
  if (m_loss_detector.first_view() == TimePoint{} &&
      m_view->configuration_version != 0 &&
      !(m_view->upstreams.empty() && m_view->unconfigured_upstreams.empty())) {
    m_loss_detector.OnFirstView(now);
  }
  const std::vector<AgentPeerPtr> added = m_agents.Install(*m_view, now);
  m_subscriptions.Update(m_agents, now);
  m_heartbeats.OnViewChanged(m_agents, now);
  for (const AgentPeerPtr& agent : added) {
    AskInSearches(agent, now);
  }
}

bool FlowRouter::IsServing() const {
  return m_can_route && m_failure_detector.HasQuorum();
}

void FlowRouter::OnCallerPacket(std::span<const std::uint8_t> datagram,
                                TimePoint now) {
  const std::optional<FlowPacket> packet = m_codec.Decode(datagram);
  if (!packet || (packet->syn && packet->ack)) {
    Report(Kind::kDropped, {}, nullptr, "malformed", now);
    return;
  }
  const FlowTuple tuple{packet->source, packet->destination};
  if (!m_can_route) {
    const bool waits = m_pending_packets.Add(datagram, now);
    Report(waits ? Kind::kHeld : Kind::kDropped, tuple, nullptr,
           waits ? "no_view" : "waiting_room_full", now);
  } else if (packet->IsOpening()) {
    OnOpening(*packet, tuple, datagram, now);
  } else {
    OnFlowPacket(*packet, tuple, datagram, now);
  }
}

void FlowRouter::OnOpening(const FlowPacket& packet,
                           const FlowTuple& tuple,
                           std::span<const std::uint8_t> datagram,
                           TimePoint now) {
  FlowEntry* entry = m_flows.Find(tuple);
  if (entry != nullptr && entry->syn_sequence == packet.sequence &&
      entry->state != State::kSearching) {
    entry->last_packet = now;
    const bool unanswered = entry->state == State::kOpening &&
                            now - entry->placed >= kSynAnswerTimeout &&
                            m_retry_budget.TryRetry(now);
    if (unanswered) {
      Place(tuple, entry, datagram, now);
    } else {
      Deliver(*entry, datagram, now);
    }
    return;
  }
  m_flows.Erase(tuple);
  const auto route = m_view->routes.find(tuple.route);
  const bool is_copy = packet.acknowledgment != 0;
  if (route == m_view->routes.end()) {
    RefuseOpening(tuple, is_copy, "no_route", now);
    return;
  }
  entry = AddEntry(packet, tuple, route->second, now);
  if (entry == nullptr) {
    RefuseOpening(tuple, is_copy, "too_many_flows", now);
    return;
  }
  entry->syn_sequence = packet.sequence;
  entry->is_syn_copy = is_copy;
  m_retry_budget.OnFirstAttempt();
  Place(tuple, entry, datagram, now);
}

void FlowRouter::Place(const FlowTuple& tuple,
                       FlowEntry* entry,
                       std::span<const std::uint8_t> datagram,
                       TimePoint now) {
  if (entry->owner) {
    entry->pending_agents.push_back(std::exchange(entry->owner, nullptr));
  }
  const auto route = m_view->routes.find(tuple.route);
  const std::string* service = route == m_view->routes.end()
                                   ? nullptr
                                   : SelectService(route->second, tuple);
  AgentPeerPtr agent;
  if (service != nullptr && entry->placements < kMaxPlacements) {
    agent = SelectUntriedAgent(*service, tuple, *entry, now);
  }
  if (!agent) {
    FailPlacement(tuple, entry,
                  entry->placements > 0 ? "no_agent_takes_it" : "no_upstream",
                  now);
    return;
  }
  Report(entry->placements == 0 ? Kind::kPlaced : Kind::kPlacedAgain, tuple,
         agent.get(),
         agent->IsPreferred(entry->flow_class.priority, now) ? "least_load"
                                                             : "last_resort",
         now);
  ++entry->placements;
  entry->state = State::kOpening;
  entry->placed = now;
  entry->owner = agent;
  entry->service = *service;
  agent->OnFlowPlaced(entry->flow_class.long_lived);
  Deliver(*entry, datagram, now);
}

AgentPeerPtr FlowRouter::SelectUntriedAgent(const std::string& service,
                                            const FlowTuple& tuple,
                                            const FlowEntry& entry,
                                            TimePoint now) const {
  std::vector<AgentPeerPtr> tried = entry.refused_by;
  tried.insert(tried.end(), entry.pending_agents.begin(),
               entry.pending_agents.end());
  const FlowClass& flow_class = entry.flow_class;
  AgentPeerPtr agent = SelectAgent(m_subscriptions.ForService(service), tuple,
                                   flow_class, tried, m_settings.zone, now);
  if (!agent || !agent->IsPreferred(flow_class.priority, now)) {
    agent = SelectAgent(m_agents.ForService(service), tuple, flow_class, tried,
                        m_settings.zone, now);
  }
  return agent;
}

void FlowRouter::RefuseOpening(const FlowTuple& tuple,
                               bool may_have_opened,
                               const char* reason,
                               TimePoint now) {
  if (may_have_opened) {
    Report(Kind::kDropped, tuple, nullptr, reason, now);
  } else {
    Reset(tuple, 0, reason, nullptr, now);
  }
}

void FlowRouter::FailPlacement(const FlowTuple& tuple,
                               FlowEntry* entry,
                               const char* reason,
                               TimePoint now) {
  std::erase_if(entry->pending_agents, [](const AgentPeerPtr& agent) {
    return agent->IsGone() || agent->silent();
  });
  if (entry->pending_agents.empty()) {
    const bool may_have_opened =
        entry->is_syn_copy || now - entry->last_packet >= kFirstCopyTime;
    RefuseOpening(tuple, may_have_opened, reason, now);
    m_flows.Erase(tuple);
    return;
  }
  // An agent that has the SYN may still answer; its answer may be on its way to
  // the caller.
  entry->owner = entry->pending_agents.back();
  entry->pending_agents.pop_back();
}

void FlowRouter::OnFlowPacket(const FlowPacket& packet,
                              const FlowTuple& tuple,
                              std::span<const std::uint8_t> datagram,
                              TimePoint now) {
  FlowEntry* entry = m_flows.Find(tuple);
  if (entry == nullptr) {
    StartSearch(packet, tuple, datagram, now);
    return;
  }
  entry->last_packet = now;
  entry->has_caller_packets = true;
  entry->acknowledgment = packet.acknowledgment;
  if (entry->state == State::kOpening) {
    if (entry->pending_agents.empty()) {
      entry->state = State::kOpen;
    } else {
      // Several agents have the SYN. The caller has chosen one of them, or one
      // that got a copy through another balancer.
      entry->state = State::kSearching;
      entry->stage_began = now;
      entry->pending_agents.push_back(std::exchange(entry->owner, nullptr));
      entry->later_stages = {AgentsWithout(entry->pending_agents)};
      m_staged_searches.push_back(tuple);
    }
  }
  if (entry->state == State::kSearching) {
    HoldPacket(datagram, packet, entry);
    if (entry->is_deferred) {
      return;
    }
    // What an unsure agent knows may have changed since its answer.
    auto& pending = entry->pending_agents;
    pending.insert(pending.end(), entry->unsure_agents.begin(),
                   entry->unsure_agents.end());
    entry->unsure_agents.clear();
    if (TryEndSearch(tuple, entry, now)) {
      return;
    }
    if (now - entry->placed >= kQueryTimeout) {
      // While the search waits for an agent, those who know the owner may end.
      HavePeersConfirmedLoss(tuple, entry, now);
    }
    const bool is_stage_over = now - entry->stage_began >= kStageTimeout;
    if (is_stage_over && !QueryNextStage(tuple, entry, now)) {
      return;
    }
    if (!AskAgents(tuple, pending, entry, now)) {
      AbandonSearch(tuple, packet.acknowledgment, now);
    }
    return;
  }
  if (entry->owner->silent() && entry->flow_class.idempotent &&
      m_failure_detector.IsReliable(now)) {
    Reset(tuple, packet.acknowledgment, "agent_silent", entry->owner.get(),
          now);
    m_flows.Erase(tuple);
    return;
  }
  Deliver(*entry, datagram, now);
}

std::vector<AgentPeerPtr> FlowRouter::AgentsWithout(
    const std::vector<AgentPeerPtr>& excluded) const {
  std::vector<AgentPeerPtr> agents;
  for (const auto& [address, agent] : m_agents.all()) {
    if (std::find(excluded.begin(), excluded.end(), agent) == excluded.end()) {
      agents.push_back(agent);
    }
  }
  return agents;
}

void FlowRouter::StartSearch(const FlowPacket& packet,
                             const FlowTuple& tuple,
                             std::span<const std::uint8_t> datagram,
                             TimePoint now) {
  const auto route = m_view->routes.find(tuple.route);
  if (route == m_view->routes.end()) {
    // The flow may have opened at a balancer that has a newer configuration.
    if (!m_view->dropped_routes.contains(tuple.route)) {
      Report(Kind::kDropped, tuple, nullptr, "route_unknown", now);
    } else if (!packet.reset) {
      Reset(tuple, packet.acknowledgment, "no_route", nullptr, now);
    }
    return;
  }
  FlowEntry* entry = AddEntry(packet, tuple, route->second, now);
  if (entry == nullptr) {
    Report(Kind::kDropped, tuple, nullptr, "too_many_flows", now);
    return;
  }
  entry->state = State::kSearching;
  entry->placed = now;
  entry->stage_began = now;
  HoldPacket(datagram, packet, entry);
  if (m_agents.all().size() >= kMinStagedAgents &&
      m_loss_detector.ShouldDeferSearches(now) && !packet.reset) {
    entry->is_deferred = true;
    m_deferred_searches.push_back(tuple);
    Report(Kind::kHeld, tuple, nullptr, "owner_unknown", now);
    return;
  }
  QueryAgents(packet, tuple, entry, now);
}

void FlowRouter::HoldPacket(std::span<const std::uint8_t> datagram,
                            const FlowPacket& packet,
                            FlowEntry* entry) const {
  auto& held = entry->search_packet;
  if (held.empty() || packet.data_bytes > 0 ||
      m_codec.Decode(held)->data_bytes == 0) {
    held.assign(datagram.begin(), datagram.end());
    entry->packet_receivers.clear();
  }
}

void FlowRouter::QueryAgents(const FlowPacket& packet,
                             const FlowTuple& tuple,
                             FlowEntry* entry,
                             TimePoint now) {
  const auto route = m_view->routes.find(tuple.route);
  if (route == m_view->routes.end()) {
    m_flows.Erase(tuple);
    return;
  }
  m_loss_detector.OnSearch();
  std::vector<AgentPeerPtr> other_zones;
  std::vector<AgentPeerPtr> other_services;
  for (const auto& item : m_agents.by_service()) {
    const bool of_route = std::any_of(route->second.services.begin(),
                                      route->second.services.end(),
                                      [&](const WeightedService& each) {
                                        return each.service == item.first;
                                      });
    for (const AgentPeerPtr& agent : item.second) {
      if (!of_route) {
        other_services.push_back(agent);
      } else if (agent->zone() == m_settings.zone) {
        entry->pending_agents.push_back(agent);
      } else {
        other_zones.push_back(agent);
      }
    }
  }
  auto& pending = entry->pending_agents;
  if (!other_services.empty()) {
    entry->later_stages.push_back(std::move(other_services));
  }
  if (pending.size() + other_zones.size() >= kMinStagedAgents &&
      pending.size() >= kMinFirstStageAgents && !other_zones.empty()) {
    entry->later_stages.push_back(std::move(other_zones));
  } else {
    pending.insert(pending.end(), other_zones.begin(), other_zones.end());
  }
  if (!entry->later_stages.empty()) {
    m_staged_searches.push_back(tuple);
  }
  Report(Kind::kSearched, tuple, nullptr,
         m_loss_detector.IsOutage(now) ? "outage" : "owner_unknown", now);
  if (AskAgents(tuple, pending, entry, now)) {
    return;
  }
  if (packet.reset) {
    m_flows.Erase(tuple);
  } else {
    AbandonSearch(tuple, packet.acknowledgment, now);
  }
}

void FlowRouter::EndDeferredSearches(TimePoint now) {
  if (m_deferred_searches.empty()) {
    return;
  }
  const bool are_all_lost = m_loss_detector.AreAllFlowsLost(now);
  const bool is_undecided =
      !are_all_lost && m_loss_detector.ShouldDeferSearches(now);
  // Hundreds of searches at once would keep the agents from answering the first
  // ones.
  std::size_t room = is_undecided ? RoomForSearches() : 0;
  std::vector<FlowTuple> ended;
  std::erase_if(m_deferred_searches, [&](const FlowTuple& tuple) {
    const FlowEntry* entry = m_flows.Find(tuple);
    if (entry == nullptr || !entry->is_deferred) {
      return true;
    }
    const milliseconds decided_limit =
        entry->flow_class.idempotent ? kIdempotentDeferTime : kDeferTime;
    bool is_due =
        now - entry->placed >= (is_undecided ? kMaxDeferTime : decided_limit);
    if (!is_due && room > 0) {
      --room;
      is_due = true;
    }
    if (is_due) {
      ended.push_back(tuple);
    }
    return is_due;
  });
  for (const FlowTuple& tuple : ended) {
    FlowEntry* entry = m_flows.Find(tuple);
    if (entry == nullptr || !entry->is_deferred) {
      // A flow that was deferred twice since the last tick is listed twice.
      continue;
    }
    if (are_all_lost) {
      AbandonSearch(tuple, entry->acknowledgment, now);
      continue;
    }
    entry->is_deferred = false;
    entry->placed = now;
    entry->stage_began = now;
    QueryAgents(*m_codec.Decode(entry->search_packet), tuple, entry, now);
  }
}

std::size_t FlowRouter::RoomForSearches() const {
  const auto& flows = m_flows.flows();
  const auto active = static_cast<std::size_t>(
      std::count_if(flows.begin(), flows.end(), [](const auto& item) {
        return item.second.state == State::kSearching &&
               !item.second.is_deferred;
      }));
  return FlowLossDetector::kMaxRecoverySearches -
         std::min(active, FlowLossDetector::kMaxRecoverySearches);
}

bool FlowRouter::QueryNextStage(const FlowTuple& tuple,
                                FlowEntry* entry,
                                TimePoint now) {
  if (entry->later_stages.empty()) {
    return true;
  }
  const std::vector<AgentPeerPtr> stage = std::move(entry->later_stages.back());
  entry->later_stages.pop_back();
  entry->stage_began = now;
  entry->pending_agents.insert(entry->pending_agents.end(), stage.begin(),
                               stage.end());
  if (AskAgents(tuple, stage, entry, now)) {
    return true;
  }
  AbandonSearch(tuple, entry->acknowledgment, now);
  return false;
}

void FlowRouter::AbandonSearch(const FlowTuple& tuple,
                               std::uint32_t acknowledgment,
                               TimePoint now) {
  // Of the flows that are reset here, only one that opened a moment ago may
  // have an owner; all others have none.
  if (m_loss_detector.AreAllFlowsLost(now)) {
    Reset(tuple, acknowledgment, "all_flows_lost", nullptr, now);
  }
  m_flows.Erase(tuple);
}

void FlowRouter::AdvanceSearches(TimePoint now) {
  std::erase_if(m_staged_searches, [&](const FlowTuple& tuple) {
    FlowEntry* entry = m_flows.Find(tuple);
    if (entry == nullptr || entry->state != State::kSearching ||
        entry->later_stages.empty()) {
      return true;
    }
    if (now - entry->stage_began < kStageTimeout) {
      return false;
    }
    return !QueryNextStage(tuple, entry, now) || entry->later_stages.empty();
  });
}

bool FlowRouter::AskAgents(const FlowTuple& tuple,
                           const std::vector<AgentPeerPtr>& agents,
                           FlowEntry* entry,
                           TimePoint now) {
  const bool sends_packet =
      m_loss_detector.IsOutage(now) && !entry->search_packet.empty();
  const std::size_t bytes =
      sends_packet ? entry->search_packet.size() + kDeliverOverheadBytes
                   : kQueryBytes;
  if (!m_search_bytes.TryTake(now,
                              static_cast<double>(agents.size() * bytes))) {
    Report(Kind::kDropped, tuple, nullptr, "search_budget", now);
    return false;
  }
  const std::optional<FlowPacket> packet = m_codec.Decode(entry->search_packet);
  const FlowQuery query{tuple, entry->acknowledgment, packet && packet->reset};
  for (const AgentPeerPtr& agent : agents) {
    if (now - entry->placed >= kQueryTimeout) {
      // Reports show whether the agent that has not answered is lost.
      agent->OnForwarded(now);
    }
    if (sends_packet) {
      SendSearchPacket(agent, entry);
    } else {
      m_output->SendToNode(agent->address(), query);
    }
  }
  return true;
}

void FlowRouter::SendSearchPacket(const AgentPeerPtr& agent, FlowEntry* entry) {
  entry->packet_receivers.push_back(agent);
  m_output->SendToNode(agent->address(),
                       DeliverMessage{agent->service(), true, entry->flow_class,
                                      entry->search_packet});
}

bool FlowRouter::IsLost(const AgentPeer& agent, TimePoint now) const {
  return agent.IsGone() ||
         (agent.silent() && m_failure_detector.IsReliable(now));
}

bool FlowRouter::AreAllAgentsPresent(const FlowEntry& entry,
                                     TimePoint now) const {
  return entry.later_stages.empty() &&
         m_loss_detector.AreAllUpstreamsKnown(now) &&
         std::all_of(
             entry.pending_agents.begin(), entry.pending_agents.end(),
             [&](const AgentPeerPtr& agent) { return IsLost(*agent, now); });
}

void FlowRouter::ProbeUnsureAgents(const FlowTuple& tuple,
                                   FlowEntry* entry,
                                   TimePoint now) {
  auto& unsure = entry->unsure_agents;
  if (unsure.empty() || entry->search_packet.empty()) {
    return;
  }
  // After an outage the upstreams alone know their flows, and callers wait.
  const bool is_outage = m_loss_detector.IsOutage(now);
  // Otherwise the packet must not reach other upstreams while the one that may
  // hold the flow cannot get it.
  if (!is_outage && !AreAllAgentsPresent(*entry, now)) {
    return;
  }
  auto& probed = entry->probed_agents;
  const auto is_probed = [&](const AgentPeerPtr& agent) {
    return std::find(probed.begin(), probed.end(), agent) != probed.end();
  };
  // The only agent that is left is the owner of an open flow, and of a few that
  // are left one is.
  const bool is_limited = !is_outage && unsure.size() > 1;
  const auto first_unprobed =
      std::partition(unsure.begin(), unsure.end(), is_probed);
  const auto unprobed = static_cast<std::size_t>(unsure.end() - first_unprobed);
  const std::size_t max_strays =
      kMaxStrayProbes - std::min(kMaxStrayProbes, entry->stray_arrivals);
  const std::size_t max_probed =
      max_strays + (probed.size() + unprobed <= max_strays + 1 ? 1 : 0);
  if (is_limited &&
      (unprobed == 0 || probed.size() >= max_probed ||
       // Other balancers may know the owner, or have probed agents as well.
       !HavePeersConfirmedLoss(tuple, entry, now))) {
    return;
  }
  // Balancers that search for the same flow at the same time probe the same
  // agents.
  std::sort(first_unprobed, unsure.end(),
            [&](const AgentPeerPtr& a, const AgentPeerPtr& b) {
              return HashTuple({tuple.caller, a->address()}) <
                     HashTuple({tuple.caller, b->address()});
            });
  const std::size_t bytes = entry->search_packet.size() + kDeliverOverheadBytes;
  std::erase_if(unsure, [&](const AgentPeerPtr& agent) {
    if ((is_limited && (is_probed(agent) || probed.size() >= max_probed)) ||
        !m_search_bytes.TryTake(now, static_cast<double>(bytes))) {
      return false;
    }
    if (is_limited) {
      probed.push_back(agent);
    }
    Report(Kind::kProbed, tuple, agent.get(),
           is_outage ? "outage" : "owner_unknown", now);
    SendSearchPacket(agent, entry);
    entry->pending_agents.push_back(agent);
    return true;
  });
}

FlowEntry* FlowRouter::AddEntry(const FlowPacket& packet,
                                const FlowTuple& tuple,
                                const RouteSettings& route,
                                TimePoint now) {
  FlowEntry* entry = m_flows.Add(tuple);
  if (entry != nullptr) {
    entry->flow_class = ClassOf(route);
    entry->has_caller_packets = true;
    entry->acknowledgment = packet.acknowledgment;
    entry->last_packet = now;
  }
  return entry;
}

bool FlowRouter::TryEndSearch(const FlowTuple& tuple,
                              FlowEntry* entry,
                              TimePoint now) {
  const std::vector<AgentPeerPtr>& pending = entry->pending_agents;
  const auto is_lost = [&](const AgentPeerPtr& agent) {
    return IsLost(*agent, now);
  };
  const auto have_all_answered = [&] {
    return std::all_of(pending.begin(), pending.end(),
                       [&](const AgentPeerPtr& agent) {
                         return is_lost(agent) || !agent->last_report();
                       });
  };
  if (have_all_answered() && !entry->later_stages.empty()) {
    return !QueryNextStage(tuple, entry, now);
  }
  ProbeUnsureAgents(tuple, entry, now);
  if (!entry->unsure_agents.empty()) {
    return false;
  }
  const bool all_answered = have_all_answered();
  if (all_answered) {
    m_loss_detector.OnOrphanedFlow(tuple);
  }
  // If all other upstreams have lost their flows, an upstream whose agent does
  // not report is assumed to have lost its flows, too.
  const bool all_lost =
      (all_answered && m_loss_detector.AreAllFlowsLost(now)) ||
      std::all_of(pending.begin(), pending.end(), is_lost);
  // A non-idempotent request may still run at a silent agent's upstream; a
  // reset would not help its caller.
  if (!all_lost || (!pending.empty() && !entry->flow_class.idempotent)) {
    return false;
  }
  if (m_loss_detector.AreAllUpstreamsKnown(now)) {
    if (!HavePeersConfirmedLoss(tuple, entry, now)) {
      return false;
    }
    Reset(tuple, entry->acknowledgment, "no_owner", nullptr, now);
  } else {
    Report(Kind::kDropped, tuple, nullptr, "no_owner_known", now);
  }
  m_flows.Erase(tuple);
  return true;
}

bool FlowRouter::HavePeersConfirmedLoss(const FlowTuple& tuple,
                                        FlowEntry* entry,
                                        TimePoint now) {
  if (m_loss_detector.AreAllFlowsLost(now)) {
    return true;
  }
  m_peers.Prune(now);
  auto& pending = entry->pending_peers;
  const Duration age = now - entry->peers_queried;
  const bool repeats = age >= kOwnerQueryInterval;
  // An agent that has come back since may have reported to another balancer.
  const bool is_first = pending.empty() && repeats;
  if (is_first) {
    pending = m_peers.Addresses();
  }
  std::erase_if(pending, [&](const SocketAddress& peer) {
    return !m_peers.Contains(peer);
  });
  const AgentPeerPtr named = m_agents.Find(entry->named_owner);
  const bool awaits_named = entry->named_owner != SocketAddress{} &&
                            !(named && named->last_report()) &&
                            now - entry->placed < kNamedOwnerTimeout;
  if (pending.empty()) {
    if (awaits_named && repeats) {
      entry->peers_queried = now;
      m_output->SendToNode(entry->named_owner,
                           FlowQuery{tuple, entry->acknowledgment});
    }
    return !awaits_named;
  }
  if (!is_first && age < kQueryTimeout) {
    return false;
  }
  std::vector<SocketAddress> queried;
  std::copy_if(pending.begin(), pending.end(), std::back_inserter(queried),
               [&](const SocketAddress& peer) {
                 return is_first || repeats || m_peers.IsUnanswered(peer);
               });
  if (queried.empty() ||
      !m_search_bytes.TryTake(
          now, static_cast<double>(queried.size() * kQueryBytes))) {
    return false;
  }
  if (entry->peers_queried == TimePoint{}) {
    m_peer_searches.push_back(tuple);
  }
  entry->peers_queried = now;
  if (awaits_named) {
    m_output->SendToNode(entry->named_owner,
                         FlowQuery{tuple, entry->acknowledgment});
  }
  for (const SocketAddress& peer : queried) {
    m_peers.OnQueried(peer, now);
    m_output->SendToNode(peer, FlowQuery{tuple, entry->acknowledgment});
  }
  return false;
}

void FlowRouter::AdvancePeerSearches(TimePoint now) {
  std::vector<FlowTuple> searches = std::exchange(m_peer_searches, {});
  std::erase_if(searches, [&](const FlowTuple& tuple) {
    FlowEntry* entry = m_flows.Find(tuple);
    return entry == nullptr || entry->state != State::kSearching ||
           entry->peers_queried == TimePoint{} ||
           TryEndSearch(tuple, entry, now);
  });
  m_peer_searches.insert(m_peer_searches.end(), searches.begin(),
                         searches.end());
}

void FlowRouter::Deliver(const FlowEntry& entry,
                         std::span<const std::uint8_t> datagram,
                         TimePoint now) {
  AgentPeer& owner = *entry.owner;
  owner.OnForwarded(now);
  m_output->SendToNode(
      owner.address(),
      DeliverMessage{entry.service, false, entry.flow_class, datagram});
}

void FlowRouter::Reset(const FlowTuple& tuple,
                       std::uint32_t sequence,
                       const char* reason,
                       const AgentPeer* agent,
                       TimePoint now) {
  Report(Kind::kReset, tuple, agent, reason, now);
  m_output->SendReset(tuple, sequence);
}

void FlowRouter::Report(FlowDecision::Kind kind,
                        const FlowTuple& tuple,
                        const AgentPeer* agent,
                        const char* reason,
                        TimePoint now) {
  FlowDecision decision;
  decision.kind = kind;
  decision.tuple = tuple;
  decision.reason = reason;
  decision.configuration_version = m_view->configuration_version;
  if (agent != nullptr) {
    decision.peer = agent->address();
    decision.service = agent->service();
    decision.running = agent->running();
    decision.report_age = agent->report_age(now);
    decision.peer_phase = ToString(agent->phase());
    if (agent->reports_wanted()) {
      decision.requested_for = std::chrono::duration_cast<milliseconds>(
          now - agent->reports_wanted_since());
    }
  }
  m_output->Report(decision);
}

void FlowRouter::OnNodeMessage(const SocketAddress& source,
                               const NodeMessage& message,
                               TimePoint now) {
  if (const auto* status = std::get_if<AgentStatus>(&message)) {
    OnStatus(source, *status, now);
  } else if (const auto* returned = std::get_if<ReturnMessage>(&message)) {
    OnReturn(source, *returned, now);
  } else if (const auto* unknown = std::get_if<FlowUnknownMessage>(&message)) {
    OnFlowUnknown(source, *unknown, now);
  } else if (const auto* handover = std::get_if<FlowHandover>(&message)) {
    OnHandover(source, *handover, now);
  } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
    OnPeerQuery(source, *query, now);
  } else if (const auto* owner = std::get_if<FlowOwnerMessage>(&message)) {
    OnFlowOwner(source, *owner, now);
  } else if (const auto* overdue = std::get_if<OverdueAgents>(&message)) {
    OnPeerOverdue(source, *overdue);
  } else if (const auto* stopping = std::get_if<StoppingAgents>(&message)) {
    OnStoppingAgents(*stopping, now);
  } else if (const auto* greeting = std::get_if<BalancerHeartbeat>(&message)) {
    if (greeting->incarnation == m_settings.incarnation) {
      m_peers.SetSelf(source);
    } else {
      // Only balancers that have run for a while send greetings.
      m_peers.OnMessage(source);
      m_loss_detector.OnOlderBalancer();
    }
  } else {
    Report(Kind::kDropped, {}, nullptr, "unexpected_message", now);
  }
}

void FlowRouter::OnReturn(const SocketAddress& source,
                          const ReturnMessage& message,
                          TimePoint now) {
  const std::optional<FlowPacket> packet = m_codec.Decode(message.packet);
  const AgentPeerPtr agent = m_agents.Find(source);
  if (!packet || !agent || !packet->IsOpening()) {
    Report(Kind::kDropped, {}, nullptr, "malformed", now);
    return;
  }
  const FlowTuple tuple{packet->source, packet->destination};
  Report(Kind::kReturned, tuple, agent.get(), ToString(message.reason), now);
  const auto route = m_view->routes.find(tuple.route);
  const std::uint8_t priority =
      route == m_view->routes.end() ? kDefaultPriority : route->second.priority;
  agent->OnSynReturned(message.reason, priority, now);
  FlowEntry* entry = m_flows.Find(tuple);
  if (entry == nullptr || entry->owner != agent ||
      entry->state != State::kOpening ||
      entry->syn_sequence != packet->sequence) {
    return;
  }
  entry->refused_by.push_back(std::exchange(entry->owner, nullptr));
  if (!m_retry_budget.TryRetry(now)) {
    FailPlacement(tuple, entry, "retry_budget", now);
    return;
  }
  Place(tuple, entry, message.packet, now);
}

void FlowRouter::OnFlowUnknown(const SocketAddress& source,
                               const FlowUnknownMessage& message,
                               TimePoint now) {
  const FlowTuple tuple = message.tuple;
  const AgentPeerPtr agent = m_agents.Find(source);
  FlowEntry* entry = m_flows.Find(tuple);
  if (!agent) {
    if (message.has_packet && entry != nullptr) {
      // Packets that the other balancer has sent reach their number together
      // with those from here.
      entry->stray_arrivals = std::max(entry->stray_arrivals, kMaxStrayProbes);
    }
    OnPeerWithoutOwner(source, tuple, now);
    return;
  }
  if (entry == nullptr) {
    return;
  }
  Report(Kind::kUnknownThere, tuple, agent.get(),
         message.is_certain ? "" : "not_known", now);
  if (entry->state == State::kSearching) {
    if (Remove(&entry->pending_agents, agent)) {
      if (!message.is_certain) {
        entry->unsure_agents.push_back(agent);
      }
      const auto& probed = entry->probed_agents;
      if (message.has_packet &&
          std::find(probed.begin(), probed.end(), agent) == probed.end()) {
        ++entry->stray_arrivals;
      }
      TryEndSearch(tuple, entry, now);
    }
    return;
  }
  if (message.is_certain && entry->state == State::kOpen &&
      entry->owner == agent) {
    // The flow is removed, so that the caller's next packet starts a search for
    // the owner.
    m_flows.Erase(tuple);
  }
}

void FlowRouter::OnPeerQuery(const SocketAddress& source,
                             const FlowQuery& query,
                             TimePoint now) {
  m_peers.OnMessage(source);
  const FlowEntry* entry = m_flows.Find(query.tuple);
  if (entry != nullptr && entry->state != State::kSearching && entry->owner &&
      !IsLost(*entry->owner, now)) {
    m_output->SendToNode(
        source, FlowOwnerMessage{query.tuple, entry->owner->address()});
  } else {
    const bool has_probed = entry != nullptr && !entry->probed_agents.empty();
    m_output->SendToNode(source,
                         FlowUnknownMessage{query.tuple, true, has_probed});
  }
}

void FlowRouter::OnPeerWithoutOwner(const SocketAddress& source,
                                    const FlowTuple& tuple,
                                    TimePoint now) {
  if (!m_peers.Contains(source)) {
    return;
  }
  m_peers.OnMessage(source);
  FlowEntry* entry = m_flows.Find(tuple);
  if (entry != nullptr && entry->state == State::kSearching &&
      std::erase(entry->pending_peers, source) > 0) {
    TryEndSearch(tuple, entry, now);
  }
}

void FlowRouter::OnFlowOwner(const SocketAddress& source,
                             const FlowOwnerMessage& message,
                             TimePoint now) {
  const FlowTuple tuple = message.tuple;
  m_peers.OnMessage(source);
  FlowEntry* entry = m_flows.Find(tuple);
  if (entry == nullptr || entry->state != State::kSearching) {
    return;
  }
  const AgentPeerPtr agent = m_agents.Find(message.agent);
  if (!agent || !agent->last_report()) {
    // The agent introduces itself with its answer. Until then the search waits,
    // also if the other balancer ends.
    entry->named_owner = message.agent;
    m_output->SendToNode(message.agent,
                         FlowQuery{tuple, entry->acknowledgment});
    return;
  }
  if (Remove(&entry->unsure_agents, agent) && !entry->search_packet.empty()) {
    entry->probed_agents.push_back(agent);
    entry->pending_agents.push_back(agent);
    Report(Kind::kProbed, tuple, agent.get(), "owner_named", now);
    SendSearchPacket(agent, entry);
    return;
  }
  // The agent itself knows better than another balancer.
  const auto& pending = entry->pending_agents;
  const bool has_answered =
      entry->later_stages.empty() &&
      std::find(pending.begin(), pending.end(), agent) == pending.end();
  if (has_answered || IsLost(*agent, now)) {
    OnPeerWithoutOwner(source, tuple, now);
  }
}

void FlowRouter::AskPeersAboutOverdue() {
  OverdueAgents message;
  for (const AgentPeerPtr& agent : m_failure_detector.overdue()) {
    if (message.agents.size() < kMaxOverdueAgents &&
        agent->phase() == AgentPhase::kServing) {
      message.agents.push_back(agent->address());
    }
  }
  if (message.agents.empty()) {
    return;
  }
  for (const SocketAddress& peer : m_peers.Next(kMaxPeersAboutOverdue)) {
    m_output->SendToNode(peer, message);
  }
}

void FlowRouter::OnPeerOverdue(const SocketAddress& source,
                               const OverdueAgents& message) {
  m_peers.OnMessage(source);
  StoppingAgents answer;
  for (const SocketAddress& address : message.agents) {
    const AgentPeerPtr agent = m_agents.Find(address);
    if (agent && agent->phase() == AgentPhase::kStopping) {
      answer.agents.push_back({address, agent->incarnation()});
    }
  }
  if (!answer.agents.empty()) {
    m_output->SendToNode(source, answer);
  }
}

void FlowRouter::OnStoppingAgents(const StoppingAgents& message,
                                  TimePoint now) {
  for (const StoppingAgent& stopping : message.agents) {
    const AgentPeerPtr agent = m_agents.Find(stopping.address);
    if (agent && agent->OnStopNotice(stopping.incarnation)) {
      Report(Kind::kPeerPhase, {}, agent.get(), ToString(agent->phase()), now);
    }
  }
}

void FlowRouter::OnStatus(const SocketAddress& source,
                          const AgentStatus& status,
                          TimePoint now) {
  const AgentPeerPtr before = m_agents.Find(source);
  if (before && before->IsStale(status)) {
    // A late copy must not show an agent as alive that has been lost since. If
    // two reports have changed places, the flows of the first one still count.
    Report(Kind::kDropped, {}, before.get(), "stale_report", now);
    if (!before->silent() && before->incarnation() == status.incarnation) {
      ApplyReportedFlows(before, WithoutKnown(status.opened), now);
    }
    return;
  }
  const AgentPhase phase = before ? before->phase() : AgentPhase::kServing;
  const Incarnation incarnation =
      before ? before->incarnation() : Incarnation{};
  const bool was_unsure = before && before->needs_handover();
  const AgentPeerPtr agent = m_agents.OnStatus(source, status, now);
  const bool was_silent = agent->silent();
  if (!before || was_silent) {
    agent->set_silent(false);
    Report(Kind::kPeerBack, {}, agent.get(), "report", now);
  }
  const bool is_new_run =
      incarnation != Incarnation{} && incarnation != status.incarnation;
  if (was_silent || is_new_run) {
    m_heartbeats.OnAgentBack(*agent, now);
  }
  if (!before) {
    AskInSearches(agent, now);
  }
  if (is_new_run) {
    m_handovers.OnRun(source, status.incarnation);
  }
  if (status.needs_handover) {
    ReturnFlows(agent, status, is_new_run);
  } else if (was_unsure && agent->IsCold(now)) {
    // Its upstream is new. Another agent only waits no longer for a handover,
    // and knows as little as before.
    AskAgain(agent, now);
  }
  if (phase != status.phase) {
    Report(Kind::kPeerPhase, {}, agent.get(), ToString(status.phase), now);
  }
  for (const SocketAddress& address : status.new_balancers) {
    m_heartbeats.OnBalancerIntroduced(address, now);
    if (m_peers.OnAnnounced(address, now)) {
      BalancerHeartbeat greeting;
      greeting.incarnation = m_settings.incarnation;
      m_output->SendToNode(address, greeting);
    }
  }
  ApplyReportedFlows(agent, status.opened, now);
  ProcessPendingPackets(now);
}

void FlowRouter::AskInSearches(const AgentPeerPtr& agent, TimePoint now) {
  for (auto& [tuple, entry] : m_flows.flows()) {
    if (entry.state == State::kSearching && !entry.is_deferred) {
      // If the bandwidth limit allows no query now, the caller's next packet
      // leads to one.
      entry.pending_agents.push_back(agent);
      AskAgents(tuple, {agent}, &entry, now);
    }
  }
}

void FlowRouter::AskAgain(const AgentPeerPtr& agent, TimePoint now) {
  for (auto& [tuple, entry] : m_flows.flows()) {
    if (entry.state == State::kSearching &&
        Remove(&entry.unsure_agents, agent)) {
      entry.pending_agents.push_back(agent);
      AskAgents(tuple, {agent}, &entry, now);
    }
  }
}

std::vector<ReportedFlow> FlowRouter::WithoutKnown(
    std::vector<ReportedFlow> flows) {
  std::erase_if(flows, [&](const ReportedFlow& flow) {
    const FlowEntry* entry = m_flows.Find(flow.tuple);
    return entry != nullptr && entry->state != State::kSearching;
  });
  return flows;
}

void FlowRouter::OnHandover(const SocketAddress& source,
                            const FlowHandover& handover,
                            TimePoint now) {
  const AgentPeerPtr agent = m_agents.Find(source);
  if (!agent) {
    Report(Kind::kDropped, {}, nullptr, "handover_of_unknown", now);
    return;
  }
  m_handovers.Add(source, handover, now);
  agent->OnHandover();
  ApplyReportedFlows(agent, WithoutKnown(handover.flows), now);
}

void FlowRouter::ReturnFlows(const AgentPeerPtr& agent,
                             const AgentStatus& status,
                             bool is_new_run) {
  std::string service;
  std::vector<FlowHandover> parts =
      m_handovers.Take(agent->address(), status.incarnation, &service);
  for (FlowHandover& part : parts) {
    part.service = service;
    m_output->SendToNode(agent->address(), part);
  }
  if (!parts.empty() || !is_new_run) {
    return;
  }
  std::vector<ReportedFlow> owned;
  for (const auto& [tuple, entry] : m_flows.flows()) {
    if (entry.owner == agent && entry.state == State::kOpen &&
        entry.service == status.service) {
      owned.push_back({tuple, entry.acknowledgment});
    }
  }
  if (!owned.empty()) {
    FlowHandover head;
    head.service = status.service;
    SendInParts(agent->address(), owned, head, m_output);
  }
}

void FlowRouter::ApplyReportedFlows(const AgentPeerPtr& agent,
                                    const std::vector<ReportedFlow>& flows,
                                    TimePoint now) {
  for (const ReportedFlow& held : flows) {
    FlowEntry* entry = m_flows.Add(held.tuple);
    if (entry == nullptr) {
      return;
    }
    const bool fresh = entry->last_packet == TimePoint{};
    if (fresh) {
      entry->acknowledgment = held.acknowledgment;
      entry->last_packet = now;
      const auto route = m_view->routes.find(held.tuple.route);
      if (route != m_view->routes.end()) {
        entry->flow_class = ClassOf(route->second);
      }
    } else if (entry->state == State::kSearching) {
      Report(Kind::kFound, held.tuple, agent.get(), "report", now);
    } else if (now - entry->last_packet >= kMovedFlowTime) {
      entry->has_caller_packets = false;
    }
    entry->state = State::kOpen;
    entry->owner = agent;
    entry->service = agent->service();
    entry->pending_agents.clear();
    entry->unsure_agents.clear();
    entry->later_stages.clear();
    entry->pending_peers.clear();
    entry->peers_queried = {};
    entry->named_owner = {};
    entry->is_deferred = false;
    const auto packet = std::exchange(entry->search_packet, {});
    const auto receivers = std::exchange(entry->packet_receivers, {});
    if (!packet.empty() && std::find(receivers.begin(), receivers.end(),
                                     agent) == receivers.end()) {
      Deliver(*entry, packet, now);
    }
  }
}

bool FlowRouter::CanRoute(TimePoint now) const {
  if (m_loss_detector.first_view() == TimePoint{}) {
    return false;
  }
  return now - m_loss_detector.first_view() >= kFirstReportTimeout ||
         std::all_of(
             m_agents.all().begin(), m_agents.all().end(),
             [](const auto& item) { return !!item.second->last_report(); });
}

void FlowRouter::ProcessPendingPackets(TimePoint now) {
  if (m_can_route || !CanRoute(now)) {
    return;
  }
  m_can_route = true;
  for (const auto& packet : m_pending_packets.TakeAll(now)) {
    OnCallerPacket(packet, now);
  }
}

void FlowRouter::OnTick(TimePoint now) {
  m_peers.OnTick(now);
  ProcessPendingPackets(now);
  for (const AgentPeerPtr& agent : m_failure_detector.OnTick(m_agents, now)) {
    Report(Kind::kPeerSilent, {}, agent.get(), "no_report", now);
    OnAgentSilent(agent, now);
  }
  for (const AgentPeerPtr& agent : m_failure_detector.overdue()) {
    if (agent->unanswered_queries() == 1) {
      Report(Kind::kPeerPhase, {}, agent.get(), "overdue", now);
    }
    m_output->SendToNode(agent->address(), LivenessQuery{});
  }
  AskPeersAboutOverdue();
  AdvanceSearches(now);
  AdvancePeerSearches(now);
  EndDeferredSearches(now);
  m_subscriptions.OnTick(m_agents, now);
  m_heartbeats.OnTick(m_agents, now);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    const Duration idle =
        std::max<Duration>(m_view->flow_idle_timeout, m_settings.flow_lifetime);
    m_flows.EraseIdle(now - idle);
    m_agents.Prune(now);
    m_handovers.Prune(now);
  }
}

void FlowRouter::OnAgentSilent(const AgentPeerPtr& agent, TimePoint now) {
  std::vector<FlowTuple> abandoned;
  std::vector<FlowTuple> searched;
  for (const auto& [tuple, entry] : m_flows.flows()) {
    if (entry.owner == agent && entry.state == State::kOpen &&
        entry.flow_class.idempotent && entry.has_caller_packets) {
      abandoned.push_back(tuple);
    } else if (entry.state == State::kSearching && !entry.is_deferred) {
      searched.push_back(tuple);
    }
  }
  for (const FlowTuple& tuple : abandoned) {
    Reset(tuple, m_flows.Find(tuple)->acknowledgment, "agent_silent",
          agent.get(), now);
    m_flows.Erase(tuple);
  }
  for (const FlowTuple& tuple : searched) {
    TryEndSearch(tuple, m_flows.Find(tuple), now);
  }
}

}  // namespace fireflytrestle
