#include "libnet/storereader.h"

#include <algorithm>
#include <utility>

#include "libbase/clock.h"
#include "libbase/logger.h"
#include "libnet/metricswriter.h"
#include "libnet/systemrandom.h"
#include "libsite/siteview.h"
#include "libsite/storeclient.h"

namespace fireflytrestle {

namespace {

/// Resolution of retries and of the grace period before missing entries expire.
constexpr std::chrono::milliseconds kTickInterval{100};

const char* EventName(SiteChange::Kind kind) {
  switch (kind) {
    case SiteChange::Kind::kConfiguration:
      return "configuration_in_force";
    case SiteChange::Kind::kConfigurationOlder:
      return "configuration_older";
    case SiteChange::Kind::kZoneOut:
      return "zone_out";
    case SiteChange::Kind::kZoneIn:
      return "zone_in";
    case SiteChange::Kind::kUpstreamChanged:
      return "upstream_changed";
    case SiteChange::Kind::kUpstreamMissing:
      return "upstream_missing";
    case SiteChange::Kind::kUpstreamGone:
      return "upstream_gone";
    case SiteChange::Kind::kUnreadable:
      return "item_unreadable";
  }
  return "site_change";
}

}  // namespace

StoreReader::StoreReader(const std::vector<std::string>& prefixes,
                         Sharing sharing,
                         StoreClient* client,
                         const RecordDecoder& decoder,
                         const Clock& clock,
                         Logger* logger,
                         Callbacks callbacks)
    : m_client(client),
      m_clock(clock),
      m_logger(logger),
      m_callbacks(std::move(callbacks)),
      m_random(DrawSeed()),
      m_state(decoder, [this](const SiteChange& change) { LogChange(change); }),
      m_sharing(std::move(sharing)),
      m_relay(m_sharing.self) {
  for (const std::string& prefix : prefixes) {
    const bool shared = m_sharing.send && prefix == m_sharing.prefix;
    m_followers.push_back(std::make_unique<StoreFollower>(
        prefix, &m_state, &m_random,
        shared ? StoreFollower::kSharingWatchWait : StoreFollower::kWatchWait));
    if (shared) {
      m_shared = m_followers.back().get();
    }
  }
}

void StoreReader::Start() {
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { Tick(); });
  m_timer.start(kTickInterval);
  Tick();
}

void StoreReader::Tick() {
  if (m_state.Expire(m_clock.Now())) {
    m_callbacks.changed(m_state.View());
  }
  if (m_shared != nullptr) {
    Share();
  }
  for (const auto& follower : m_followers) {
    Read(follower.get());
  }
}

void StoreReader::Share() {
  const TimePoint now = m_clock.Now();
  const bool passive = !m_relay.MustReadStore(now);
  if (passive != m_shared->passive()) {
    m_logger->Write(LogLevel::kInfo,
                    passive ? "store_told_by_others" : "store_read_here",
                    passive ? "other processes read this part of the store"
                            : "too few other processes read this part of "
                              "the store; reading it here",
                    {{LogKey::kSource, m_shared->prefix()}});
  }
  m_shared->set_passive(passive);
  if (m_relay.TakeDueHeartbeat(now)) {
    const Revision position = m_shared->position();
    m_sharing.send(
        m_relay.Peers(now),
        {m_sharing.self, m_shared->ReadsStore(now), position, position, {}});
  }
}

void StoreReader::OnIntroduced(const SocketAddress& peer) {
  m_relay.OnIntroduced(peer, m_clock.Now());
}

void StoreReader::OnSharedChanges(const SocketAddress& peer,
                                  const SharedChanges& changes) {
  if (m_shared == nullptr) {
    return;
  }
  const TimePoint now = m_clock.Now();
  m_relay.OnPeerMessage(peer, changes, now);
  if (m_shared->OnSharedChanges(changes, now)) {
    m_callbacks.changed(m_state.View());
  }
  Confirm();
  Read(m_shared);
}

void StoreReader::SendChanges(Revision after, const StoreAnswer& answer) {
  const std::vector<SocketAddress> peers = m_relay.Peers(m_clock.Now());
  for (SharedChanges& changes : ChangeRelay::SplitIntoMessages(
           after, m_shared->position(), answer.items)) {
    changes.sender = m_sharing.self;
    m_sharing.send(peers, changes);
  }
}

void StoreReader::Read(StoreFollower* follower) {
  const StoreFollower::Read read = follower->OnTick(m_clock.Now());
  auto handler = [this, follower,
                  number = read.number](const StoreAnswer& answer) {
    OnAnswer(follower, number, answer);
  };
  switch (read.kind) {
    case StoreFollower::Read::Kind::kNone:
      return;
    case StoreFollower::Read::Kind::kList:
      m_client->List(follower->prefix(), read.after_key, std::move(handler));
      break;
    case StoreFollower::Read::Kind::kWatch:
      m_client->Watch(follower->prefix(), read.after, read.wait,
                      std::move(handler));
      break;
  }
  ++m_reads;
}

void StoreReader::OnAnswer(StoreFollower* follower,
                           std::uint64_t number,
                           const StoreAnswer& answer) {
  const Revision before = follower->position();
  const bool watched = follower->listed();
  const bool changed = follower->OnAnswer(number, answer, m_clock.Now());
  // Sends only changes from a watch to the peers, not the pages of a listing.
  if (follower == m_shared && watched && !follower->passive() &&
      !answer.items.empty()) {
    SendChanges(before, answer);
  }
  if (!answer.problem.empty()) {
    ++m_failures;
    m_logger->Write(LogLevel::kWarning, "store_read_failed",
                    "reading the store failed",
                    {{LogKey::kSource, follower->prefix()},
                     {LogKey::kError, answer.problem}});
  }
  const bool reached = IsCurrent();
  if (reached != m_reached) {
    m_reached = reached;
    m_logger->Write(
        reached ? LogLevel::kInfo : LogLevel::kWarning,
        reached ? "store_reached" : "store_lost",
        reached ? "the view of the store is up to date"
                : "the view of the store is out of date; the last known view "
                  "stays in effect",
        {{LogKey::kSource, follower->prefix()}});
  }
  if (changed) {
    m_callbacks.changed(m_state.View());
  }
  Confirm();
  Read(follower);
}

bool StoreReader::IsCurrent() const {
  const TimePoint now = m_clock.Now();
  return std::all_of(m_followers.begin(), m_followers.end(),
                     [&](const auto& each) { return each->IsCurrent(now); });
}

void StoreReader::Confirm() {
  if (IsCurrent()) {
    const auto oldest =
        std::min_element(m_followers.begin(), m_followers.end(),
                         [](const auto& a, const auto& b) {
                           return a->last_contact() < b->last_contact();
                         });
    m_callbacks.confirmed((*oldest)->last_contact());
  }
}

void StoreReader::LogChange(const SiteChange& change) {
  m_logger->Write(
      LogLevel::kInfo, EventName(change.kind), change.detail,
      {{LogKey::kSource, change.subject},
       {LogKey::kRevision, static_cast<std::uint64_t>(change.revision)}});
}

void StoreReader::WriteMetrics(MetricsWriter* metrics) const {
  metrics->Counter("store_reads_total", "Reads of the store",
                   static_cast<double>(m_reads));
  metrics->Counter("store_read_failures_total",
                   "Reads of the store without a usable answer",
                   static_cast<double>(m_failures));
  metrics->Gauge("store_reached", "1 while the store answers",
                 m_reached ? 1 : 0);
  const std::shared_ptr<const SiteView> view = m_state.View();
  metrics->Gauge("configuration_version", "Version of the configuration",
                 static_cast<double>(view->configuration_version));
  metrics->Gauge("site_upstreams", "Upstreams registered in the store",
                 static_cast<double>(view->upstreams.size()));
  metrics->Gauge("site_zones_out", "Zones that operators have taken out",
                 static_cast<double>(view->zones_out.size()));
}

}  // namespace fireflytrestle
