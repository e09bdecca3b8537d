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
      m_sharing(std::move(sharing)) {
  for (const std::string& prefix : prefixes) {
    m_parts.push_back(
        std::make_unique<Part>(Part{{prefix, &m_state, &m_random},
                                    ChangeRelay(m_sharing.self, &m_random)}));
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
  for (const auto& part : m_parts) {
    Share(part.get());
    Read(part.get());
  }
}

void StoreReader::Share(Part* part) {
  const TimePoint now = m_clock.Now();
  StoreFollower& follower = part->follower;
  const bool passive = !part->relay.MustReadStore(now);
  if (passive != follower.passive()) {
    m_logger->Write(LogLevel::kInfo,
                    passive ? "store_told_by_others" : "store_read_here",
                    passive ? "other processes read this part of the store"
                            : "too few other processes read this part of "
                              "the store; reading it here",
                    {{LogKey::kSource, follower.prefix()}});
  }
  follower.SetPassive(passive, now);
  if (part->relay.TakeDueHeartbeat(follower.ReadsStore(now), now)) {
    SharedChanges heartbeat = follower.MakeHeartbeat(now);
    heartbeat.sender = m_sharing.self;
    heartbeat.peers = part->relay.NextPeerSample(now);
    m_sharing.send(part->relay.HeartbeatReceivers(now), heartbeat);
  }
}

void StoreReader::OnIntroduced(const SocketAddress& peer) {
  for (const auto& part : m_parts) {
    part->relay.OnIntroduced(peer, m_clock.Now());
  }
}

void StoreReader::OnSharedChanges(const SocketAddress& peer,
                                  const SharedChanges& changes) {
  const auto position = std::find_if(
      m_parts.begin(), m_parts.end(), [&](const std::unique_ptr<Part>& part) {
        return part->follower.prefix() == changes.prefix;
      });
  if (position == m_parts.end()) {
    return;
  }
  Part* part = position->get();
  const TimePoint now = m_clock.Now();
  part->relay.OnPeerMessage(peer, changes, now);
  if (part->follower.OnSharedChanges(changes, now)) {
    m_callbacks.changed(m_state.View());
  }
  Confirm();
  Read(part);
}

void StoreReader::SendChanges(Part* part,
                              Revision after,
                              const StoreAnswer& answer) {
  const std::vector<SocketAddress> peers = part->relay.Peers(m_clock.Now());
  for (SharedChanges& changes : ChangeRelay::SplitIntoMessages(
           after, part->follower.position(), answer.items)) {
    changes.prefix = part->follower.prefix();
    changes.sender = m_sharing.self;
    m_sharing.send(peers, changes);
  }
}

void StoreReader::Read(Part* part) {
  const StoreFollower& follower = part->follower;
  const StoreFollower::Read read = part->follower.OnTick(m_clock.Now());
  auto handler = [this, part, number = read.number](const StoreAnswer& answer) {
    OnAnswer(part, number, answer);
  };
  switch (read.kind) {
    case StoreFollower::Read::Kind::kNone:
      return;
    case StoreFollower::Read::Kind::kList:
      m_client->List(follower.prefix(), read.after_key, std::move(handler));
      break;
    case StoreFollower::Read::Kind::kWatch:
      m_client->Watch(follower.prefix(), read.after, read.wait,
                      std::move(handler));
      break;
  }
  ++m_reads;
}

void StoreReader::OnAnswer(Part* part,
                           std::uint64_t number,
                           const StoreAnswer& answer) {
  StoreFollower& follower = part->follower;
  const Revision before = follower.unchanged_since();
  const bool watched = follower.watches();
  const bool changed = follower.OnAnswer(number, answer, m_clock.Now());
  // Sends only changes from a watch to the peers, not the pages of a listing.
  if (watched && !follower.passive() && !answer.items.empty()) {
    SendChanges(part, before, answer);
  }
  if (!answer.problem.empty()) {
    ++m_failures;
    m_logger->Write(LogLevel::kWarning, "store_read_failed",
                    "reading the store failed",
                    {{LogKey::kSource, follower.prefix()},
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
        {{LogKey::kSource, follower.prefix()}});
  }
  if (changed) {
    m_callbacks.changed(m_state.View());
  }
  Confirm();
  Share(part);
  Read(part);
}

bool StoreReader::IsCurrent() const {
  const TimePoint now = m_clock.Now();
  return std::all_of(m_parts.begin(), m_parts.end(), [&](const auto& each) {
    return each->follower.IsCurrent(now);
  });
}

void StoreReader::Confirm() {
  if (IsCurrent()) {
    const auto oldest = std::min_element(
        m_parts.begin(), m_parts.end(), [](const auto& a, const auto& b) {
          return a->follower.confirmed_at() < b->follower.confirmed_at();
        });
    m_callbacks.confirmed((*oldest)->follower.confirmed_at());
  }
}

void StoreReader::LogChange(const SiteChange& change) {
  const bool unreadable = change.kind == SiteChange::Kind::kUnreadable;
  m_unreadable_items += unreadable ? 1 : 0;
  m_logger->Write(
      unreadable ? LogLevel::kWarning : LogLevel::kInfo, EventName(change.kind),
      change.detail,
      {{LogKey::kSource, change.subject},
       {LogKey::kRevision, static_cast<std::uint64_t>(change.revision)}});
}

void StoreReader::WriteMetrics(MetricsWriter* metrics) const {
  metrics->Counter("store_reads_total", "Reads of the store",
                   static_cast<double>(m_reads));
  metrics->Counter("store_read_failures_total",
                   "Reads of the store without a usable answer",
                   static_cast<double>(m_failures));
  metrics->Counter("store_items_unreadable_total",
                   "Items of the store, or parts of a configuration, that "
                   "were malformed and left out",
                   static_cast<double>(m_unreadable_items));
  metrics->Gauge("store_reached", "1 while the store answers",
                 m_reached ? 1 : 0);
  const TimePoint now = m_clock.Now();
  for (const auto& part : m_parts) {
    metrics->Gauge(
        "store_state_age_seconds",
        "Time since the store, or a process that reads it, last "
        "confirmed the state",
        std::chrono::duration<double>(now - part->follower.confirmed_at())
            .count(),
        {{"part", part->follower.prefix()}});
  }
  const std::shared_ptr<const SiteView> view = m_state.View();
  metrics->Gauge("configuration_version", "Version of the configuration",
                 static_cast<double>(view->configuration_version));
  metrics->Gauge("site_upstreams", "Upstreams registered in the store",
                 static_cast<double>(view->upstreams.size()));
  metrics->Gauge("site_zones_out", "Zones that operators have taken out",
                 static_cast<double>(view->zones_out.size()));
}

}  // namespace fireflytrestle
