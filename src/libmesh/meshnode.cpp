#include "libmesh/meshnode.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "libbase/randomsource.h"
#include "libmesh/balancerdirectory.h"
#include "libmesh/meshlinks.h"
#include "libmesh/meshview.h"
#include "libmesh/platformreadresult.h"
#include "libmesh/platformreadscheduler.h"
#include "libmesh/viewconfirmation.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1000};
/// Interval of a process with few answering peers. If all its links go silent
/// at the same time, its lease has to last until the peers have detected this
/// as well.
constexpr milliseconds kShortHeartbeatInterval{500};
/// The adapter calls OnTick() every 100 ms; a gap longer than this means that
/// the process was paused.
constexpr milliseconds kPauseThreshold{500};
/// A document that was sent is assumed to be in flight for this long.
constexpr milliseconds kInFlightTimeout{2000};
/// Added to the contact age in a received heartbeat, which may have been in
/// transit for this long. Otherwise a contact could circulate between distant
/// processes without aging.
constexpr milliseconds kMaxTransitTime{150};
/// Minimum time since the last heartbeat on a link before an additional one is
/// sent to request a delta that applies to the document in force.
constexpr milliseconds kMinDeltaRequestInterval{200};
constexpr std::size_t kMaxAlternatives = 4;
/// With fewer answering peers, a balancer also sends heartbeats to processes
/// that opened links to it; on a small site these may be agents only.
constexpr std::size_t kMinAnsweringPeers = 2;
constexpr std::size_t kMaxUnansweredHeartbeats = 8;

constexpr DocumentKind kDocumentKinds[] = {DocumentKind::kConfiguration,
                                           DocumentKind::kInstances};

std::size_t IndexOf(DocumentKind kind) {
  return static_cast<std::size_t>(kind) - 1;
}

MeshLink::PeerDocument PeerDocumentOf(const ViewVersion& version,
                                      DocumentKind kind) {
  if (kind == DocumentKind::kConfiguration) {
    return {version.configuration, version.configuration_digest};
  }
  return {version.instances, version.instances_digest};
}

bool IsBehind(const MeshLink::PeerDocument& peer,
              const VersionedDocument& document) {
  return std::pair(peer.revision, peer.digest) <
         std::pair(document.revision, document.digest);
}

}  // namespace

class MeshNode::Private {
 public:
  Private(MeshSettings settings,
          std::unique_ptr<RandomSource> random,
          TimePoint now)
      : m_settings(std::move(settings)),
        m_random(std::move(random)),
        m_directory(m_settings),
        m_confirmation(now),
        m_read_scheduler(m_random.get(), now),
        m_last_tick(now),
        m_last_heartbeat_answer(now),
        m_next_heartbeat(
            now + milliseconds(m_random->Below(kHeartbeatInterval.count()))) {}

  void OnTick(TimePoint now, std::vector<MeshAction>* actions) {
    const bool resumed = now - m_last_tick > kPauseThreshold;
    m_last_tick = now;
    m_confirmation.OnTick(resumed, now);
    m_links.Maintain(m_directory.preferences(), resumed, now, actions);
    if (now >= m_next_heartbeat) {
      const bool few_peers = m_links.answered_count() < kMinAnsweringPeers;
      m_next_heartbeat = std::max<TimePoint>(
          m_next_heartbeat +
              (few_peers ? kShortHeartbeatInterval : kHeartbeatInterval),
          now);
      SendDueHeartbeats(now, actions);
    }
    const ViewVersion current = m_view.version();
    m_read_scheduler.OnTick(
        {m_settings.leaf, m_directory.IsWatcher(current.configuration),
         current.configuration, current.instances,
         m_directory.balancer_count() + 1, m_confirmation.last_confirmed(),
         m_last_heartbeat_answer},
        now, actions);
  }

  void OnLinkOpened(LinkId id,
                    TimePoint now,
                    std::vector<MeshAction>* actions) {
    MeshLink* link = m_links.Find(id);
    if (link == nullptr) {
      return;
    }
    link->open = true;
    link->last_activity = now;
    actions->emplace_back(
        SendOnLink{id, MeshHello{m_settings.id, m_settings.leaf}});
    // A process without a configuration sends heartbeats on one link at a time,
    // so that it does not receive the documents from each peer.
    if (HasConfiguration() ||
        now - m_last_heartbeat >= kHeartbeatInterval / 2) {
      SendHeartbeat(link, now, actions);
    }
  }

  LinkId OnLinkAccepted(TimePoint now, std::vector<MeshAction>* actions) {
    MeshLink& link = m_links.Accept(now);
    const LinkId id = link.id;
    actions->emplace_back(
        SendOnLink{id, MeshHello{m_settings.id, m_settings.leaf}});
    // A balancer with few answering peers depends on the processes that open
    // links to it; its lease may expire before the next regular heartbeat.
    if (HasConfiguration() && !m_settings.leaf &&
        m_links.answered_count() < kMinAnsweringPeers &&
        now - m_confirmation.last_confirmed() > kHeartbeatInterval) {
      SendHeartbeat(&link, now, actions);
    }
    return id;
  }

  void OnLinkClosed(LinkId id, TimePoint now) { m_links.OnClosed(id, now); }

  void OnMessage(LinkId id,
                 const MeshMessage& message,
                 TimePoint now,
                 std::vector<MeshAction>* actions) {
    MeshLink* link = m_links.Find(id);
    if (link == nullptr) {
      return;
    }
    link->last_activity = now;
    std::visit(
        [&](const auto& value) { HandleMessage(link, value, now, actions); },
        message);
  }

  void OnPlatformRead(const PlatformReadResult& result,
                      TimePoint now,
                      std::vector<MeshAction>* actions) {
    using Outcome = PlatformReadResult::Outcome;
    auto outcome = PlatformReadScheduler::Outcome::kNotNewer;
    Revision rejected_revision{};
    bool installed = false;
    if (result.outcome == Outcome::kUnreachable) {
      outcome = PlatformReadScheduler::Outcome::kUnreachable;
    } else if (result.outcome == Outcome::kInvalid) {
      outcome = PlatformReadScheduler::Outcome::kInvalid;
    } else if (result.outcome == Outcome::kDocument && result.document) {
      switch (m_view.Install(result.kind, *result.document)) {
        case DocumentStore::Outcome::kInstalled:
          outcome = PlatformReadScheduler::Outcome::kInstalled;
          installed = true;
          break;
        case DocumentStore::Outcome::kInvalid:
          outcome = PlatformReadScheduler::Outcome::kInvalid;
          rejected_revision = result.document->revision;
          spdlog::warn("published document rejected: revision {} is not valid",
                       static_cast<std::uint64_t>(rejected_revision));
          break;
        default:
          break;
      }
    }
    const std::optional<TimePoint> sent_at =
        m_read_scheduler.OnResult(result.kind, outcome, rejected_revision, now);
    if (installed) {
      OnDocumentInstalled(result.kind, LinkId{}, now, actions);
    }
    m_instance_list_read |= result.kind == DocumentKind::kInstances;
    // The service may return stale data. Its answer confirms the view only
    // after a read of the instance list, so that the listed processes are
    // contacted first.
    if (sent_at && m_instance_list_read &&
        result.kind == DocumentKind::kConfiguration &&
        outcome != PlatformReadScheduler::Outcome::kUnreachable) {
      m_confirmation.OnPlatformAnswer(*sent_at, ConfigurationVersion(), now);
    }
  }

  const ViewLease& lease() const { return m_confirmation.lease(); }
  const MeshView& view() const { return m_view; }

 private:
  bool HasConfiguration() const {
    return m_view.configuration().revision != Revision{};
  }

  ViewConfirmation::Version ConfigurationVersion() const {
    const ViewVersion version = m_view.version();
    return {version.configuration, version.configuration_digest};
  }

  // Sends the heartbeats of one interval.
  void SendDueHeartbeats(TimePoint now, std::vector<MeshAction>* actions) {
    // Links take turns, because a lease outlasts two intervals: a leaf, or a
    // balancer with enough answering peers, sends a heartbeat on each link in
    // every second interval.
    std::vector<MeshLink*> opened;
    std::vector<MeshLink*> accepted;
    for (auto& [id, link] : m_links.links()) {
      if (link.open) {
        (link.accepted ? accepted : opened).push_back(&link);
      }
    }
    std::sort(opened.begin(), opened.end(),
              [](const MeshLink* a, const MeshLink* b) {
                return a->last_heartbeat < b->last_heartbeat;
              });
    const bool one_link = m_settings.leaf || !HasConfiguration();
    const std::size_t batch_size =
        one_link ? 1 : std::max(kMinAnsweringPeers, (opened.size() + 1) / 2);
    opened.resize(std::min(opened.size(), batch_size));
    for (MeshLink* link : opened) {
      SendHeartbeat(link, now, actions);
    }
    if (one_link || m_links.answered_count() >= kMinAnsweringPeers) {
      return;
    }
    // Links with the most recent messages come first: the others may be silent.
    std::sort(accepted.begin(), accepted.end(),
              [](const MeshLink* a, const MeshLink* b) {
                return a->last_activity > b->last_activity;
              });
    accepted.resize(std::min(accepted.size(), kMinAnsweringPeers));
    for (MeshLink* link : accepted) {
      SendHeartbeat(link, now, actions);
    }
  }

  void SendHeartbeat(MeshLink* link,
                     TimePoint now,
                     std::vector<MeshAction>* actions) {
    m_last_heartbeat = now;
    link->last_heartbeat = now;
    const std::uint64_t number = link->next_heartbeat_number++;
    link->unanswered_heartbeats.push_back({number, now});
    if (link->unanswered_heartbeats.size() > kMaxUnansweredHeartbeats) {
      link->unanswered_heartbeats.pop_front();
    }
    actions->emplace_back(
        SendOnLink{link->id, MeshHeartbeat{number, m_view.version(),
                                           m_read_scheduler.contact_age(now)}});
  }

  void HandleMessage(MeshLink* link,
                     const MeshHello& hello,
                     TimePoint /*now*/,
                     std::vector<MeshAction>* actions) {
    link->peer = hello.id;
    link->leaf = hello.leaf;
    if (hello.id == m_settings.id) {
      m_links.OnSelfLink(*link, actions);
    }
  }

  void HandleMessage(MeshLink* link,
                     const MeshHeartbeat& heartbeat,
                     TimePoint now,
                     std::vector<MeshAction>* actions) {
    m_read_scheduler.OnContact(now - heartbeat.service_contact_age -
                               kMaxTransitTime);
    MeshHeartbeatAnswer answer{heartbeat.number,
                               m_view.version(),
                               m_read_scheduler.contact_age(now),
                               m_confirmation.IsConfirmed(now),
                               {}};
    if (link->leaf && heartbeat.version.instances == Revision{} && link->peer) {
      answer.alternatives =
          m_directory.AlternativesFor(*link->peer, kMaxAlternatives);
    }
    actions->emplace_back(SendOnLink{link->id, std::move(answer)});
    UpdatePeerDocuments(link, heartbeat.version, now);
    SendMissingUpdates(link, true, now, actions);
  }

  void HandleMessage(MeshLink* link,
                     const MeshHeartbeatAnswer& answer,
                     TimePoint now,
                     std::vector<MeshAction>* actions) {
    const std::optional<TimePoint> sent_at =
        m_links.OnHeartbeatAnswer(link, answer.number);
    if (!sent_at) {
      return;
    }
    m_last_heartbeat_answer = now;
    m_read_scheduler.OnContact(*sent_at - answer.service_contact_age);
    for (const SocketAddress& address : answer.alternatives) {
      m_directory.AddBootstrapAddress(address);
    }
    m_confirmation.OnHeartbeatAnswer(
        *sent_at, answer.confirmed,
        {answer.version.configuration, answer.version.configuration_digest},
        ConfigurationVersion(), now);
    UpdatePeerDocuments(link, answer.version, now);
    SendMissingUpdates(link, answer.version.configuration != Revision{}, now,
                       actions);
    if (!HasConfiguration() && answer.version.configuration == Revision{}) {
      // This peer has no configuration either; the next tick sends a heartbeat
      // on another link.
      m_next_heartbeat = now;
    }
  }

  void HandleMessage(MeshLink* link,
                     const MeshDelta& message,
                     TimePoint now,
                     std::vector<MeshAction>* actions) {
    link->documents[IndexOf(message.kind)] = {message.delta.to_revision,
                                              message.delta.to_digest};
    InstallFromPeer(link, message.kind, message.delta, now, actions);
  }

  void HandleMessage(MeshLink* link,
                     const MeshDocument& message,
                     TimePoint now,
                     std::vector<MeshAction>* actions) {
    link->documents[IndexOf(message.kind)] = {message.document.revision,
                                              message.document.digest};
    InstallFromPeer(link, message.kind, message.document, now, actions);
  }

  template <typename State>
  void InstallFromPeer(MeshLink* link,
                       DocumentKind kind,
                       const State& state,
                       TimePoint now,
                       std::vector<MeshAction>* actions) {
    switch (m_view.Install(kind, state)) {
      case DocumentStore::Outcome::kInstalled:
        OnDocumentInstalled(kind, link->id, now, actions);
        break;
      case DocumentStore::Outcome::kBaseMismatch:
        // The heartbeat names the state in force, from which the peer computes
        // a delta that applies.
        if (now - link->last_heartbeat >= kMinDeltaRequestInterval) {
          SendHeartbeat(link, now, actions);
        }
        break;
      case DocumentStore::Outcome::kInvalid:
        spdlog::warn(
            "document from instance {} rejected: it is not valid",
            static_cast<std::uint64_t>(link->peer.value_or(InstanceId{})));
        break;
      case DocumentStore::Outcome::kNotNewer:
        break;
    }
  }

  void OnDocumentInstalled(DocumentKind kind,
                           LinkId source,
                           TimePoint now,
                           std::vector<MeshAction>* actions) {
    actions->emplace_back(InstallDocument{kind});
    if (kind == DocumentKind::kInstances) {
      const bool first = m_directory.balancer_count() == 0;
      m_directory.Update(m_view.instances());
      if (first && m_directory.balancer_count() > 0 &&
          !m_confirmation.has_answer()) {
        m_confirmation.RestartGracePeriod(now);
      }
    } else {
      m_confirmation.OnDocumentInstalled(ConfigurationVersion());
    }
    for (auto& [id, link] : m_links.links()) {
      if (id != source && link.open) {
        SendMissingUpdates(&link, false, now, actions);
      }
    }
  }

  // Records the document states that the peer reports, unless a newer state
  // is in flight to it.
  static void UpdatePeerDocuments(MeshLink* link,
                                  const ViewVersion& version,
                                  TimePoint now) {
    for (const DocumentKind kind : kDocumentKinds) {
      auto& known = link->documents[IndexOf(kind)];
      const MeshLink::PeerDocument reported = PeerDocumentOf(version, kind);
      const bool in_flight = known && now - known->sent_at < kInFlightTimeout;
      if (!in_flight || std::pair(known->revision, known->digest) <
                            std::pair(reported.revision, reported.digest)) {
        known = reported;
      }
    }
  }

  // Sends the peer each document that is newer than its own: as a delta if the
  // history allows, otherwise as a whole if \p whole is set.
  void SendMissingUpdates(MeshLink* link,
                          bool whole,
                          TimePoint now,
                          std::vector<MeshAction>* actions) {
    if (m_settings.leaf) {
      return;
    }
    for (const DocumentKind kind : kDocumentKinds) {
      auto& known = link->documents[IndexOf(kind)];
      const DocumentStore& store = m_view.store(kind);
      const VersionedDocument& document = store.document();
      if (!known || !IsBehind(*known, document)) {
        continue;
      }
      auto delta = store.DeltaFrom(known->revision, known->digest);
      if (delta) {
        actions->emplace_back(
            SendOnLink{link->id, MeshDelta{kind, std::move(*delta)}});
      } else if (whole) {
        actions->emplace_back(
            SendOnLink{link->id, MeshDocument{kind, document}});
      } else {
        continue;
      }
      known = {document.revision, document.digest, now};
    }
  }

  MeshSettings m_settings;
  std::unique_ptr<RandomSource> m_random;
  MeshView m_view;
  BalancerDirectory m_directory;
  MeshLinks m_links;
  ViewConfirmation m_confirmation;
  PlatformReadScheduler m_read_scheduler;
  TimePoint m_last_tick;
  TimePoint m_last_heartbeat_answer;
  TimePoint m_next_heartbeat;
  TimePoint m_last_heartbeat{};
  /// A read of the instance list has ended, successfully or not.
  bool m_instance_list_read = false;
};

MeshNode::MeshNode(MeshSettings settings,
                   std::unique_ptr<RandomSource> random,
                   TimePoint now)
    : m_private(std::make_unique<Private>(std::move(settings),
                                          std::move(random),
                                          now)) {}

MeshNode::~MeshNode() = default;

void MeshNode::OnTick(TimePoint now, std::vector<MeshAction>* actions) {
  m_private->OnTick(now, actions);
}

void MeshNode::OnLinkOpened(LinkId link,
                            TimePoint now,
                            std::vector<MeshAction>* actions) {
  m_private->OnLinkOpened(link, now, actions);
}

LinkId MeshNode::OnLinkAccepted(TimePoint now,
                                std::vector<MeshAction>* actions) {
  return m_private->OnLinkAccepted(now, actions);
}

void MeshNode::OnLinkClosed(LinkId link,
                            TimePoint now,
                            std::vector<MeshAction>* /*actions*/) {
  m_private->OnLinkClosed(link, now);
}

void MeshNode::OnMessage(LinkId link,
                         const MeshMessage& message,
                         TimePoint now,
                         std::vector<MeshAction>* actions) {
  m_private->OnMessage(link, message, now, actions);
}

void MeshNode::OnPlatformRead(const PlatformReadResult& result,
                              TimePoint now,
                              std::vector<MeshAction>* actions) {
  m_private->OnPlatformRead(result, now, actions);
}

const ViewLease& MeshNode::lease() const {
  return m_private->lease();
}

const Configuration& MeshNode::configuration() const {
  return m_private->view().configuration();
}

const std::vector<InstanceRecord>& MeshNode::instances() const {
  return m_private->view().instances();
}

std::size_t MeshNode::unreadable_instances() const {
  return m_private->view().unreadable_instances();
}

ViewVersion MeshNode::version() const {
  return m_private->view().version();
}

}  // namespace fireflytrestle
