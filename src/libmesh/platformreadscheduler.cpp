#include "libmesh/platformreadscheduler.h"

#include <algorithm>
#include <utility>

#include "libbase/randomsource.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// How long the service may delay the answer to a read of the configuration,
/// and the minimum time between two such reads that return nothing newer.
constexpr milliseconds kLongPollTime{1000};
constexpr milliseconds kInstanceInterval{2000};
/// 1,100 balancers that are all fallback readers and 8,600 leaves that find no
/// balancer together make fewer than 2,000 calls per second.
constexpr milliseconds kFallbackInstanceInterval{4000};
/// A read without a result from the adapter for this long counts as lost.
constexpr milliseconds kReadTimeout{10000};
/// For this long after its start, a process without a configuration only
/// contacts other processes.
constexpr milliseconds kStartDelay{1000};
/// A lease that was not renewed for this long is at risk: heartbeats are sent
/// every second.
constexpr milliseconds kLeaseAtRiskAge{1300};
/// Minimum time for which a fallback reader reads. The actual time is random
/// and up to twice as long, so that not all stop at the same time.
constexpr milliseconds kMinFallbackTime{10000};
/// If all balancers become fallback readers, their first calls add up to 1,430
/// per second. With 1,100 balancers, this spread and the contact timeout leave
/// a change 0.7 s to propagate within 4 s.
constexpr std::chrono::microseconds kSpreadPerBalancer{700};
constexpr milliseconds kMinSpread{200};
/// Spread of processes without a configuration: 1,100 balancers that start at
/// the same time make 550 calls per second for each document.
constexpr milliseconds kStartSpread{2000};
/// 8,600 leaves that find no balancer make 573 calls per second.
constexpr milliseconds kLeafSpread{15000};
constexpr milliseconds kLeafAnswerTimeout{2000};
constexpr milliseconds kMinRetryDelay{2000};
constexpr milliseconds kMaxRetryDelay{10000};
constexpr milliseconds kWatcherRetryDelay{1000};
/// For this long, a revision that is not valid is not requested again unless a
/// newer one is published. The service would return it immediately at each
/// read; one megabyte every ten minutes is 1.7 KB/s.
constexpr std::chrono::minutes kRejectedRevisionBackoff{10};
constexpr milliseconds kMaxContactAge{3600000};

}  // namespace

PlatformReadScheduler::PlatformReadScheduler(RandomSource* random,
                                             TimePoint now)
    : m_random(random), m_started_at(now) {}

void PlatformReadScheduler::OnTick(const NodeState& node_state,
                                   TimePoint now,
                                   std::vector<MeshAction>* actions) {
  m_leaf = node_state.leaf;
  m_watcher = node_state.watcher;
  for (ReadState& reads : m_reads) {
    if (reads.sent_at && now - *reads.sent_at > kReadTimeout) {
      reads.sent_at.reset();
    }
  }
  if (node_state.leaf) {
    TickLeaf(node_state, now, actions);
    return;
  }
  const bool starting = node_state.configuration == Revision{};
  m_starting = starting;
  const bool at_risk = now - node_state.last_confirmed > kLeaseAtRiskAge;
  const bool should_read = m_watcher || now < m_fallback_until ||
                           contact_age(now) > kContactTimeout || at_risk;
  if (!should_read || (starting && now - m_started_at < kStartDelay)) {
    m_was_reading = false;
    m_platform_reached = false;
    return;
  }
  ReadState& configuration = reads(DocumentKind::kConfiguration);
  if (!m_was_reading) {
    m_was_reading = true;
    Duration spread = kStartSpread;
    if (m_watcher) {
      spread = Duration::zero();
    } else if (!starting) {
      spread = std::max<Duration>(
          kMinSpread,
          kSpreadPerBalancer * static_cast<int>(node_state.balancers));
    }
    configuration.next = std::max(configuration.next, now + Below(spread));
    ReadState& instances = reads(DocumentKind::kInstances);
    instances.next = std::max(instances.next, configuration.next);
  }
  // The first read is answered immediately, so that the contact is recorded
  // early.
  ReadIfDue(DocumentKind::kConfiguration, node_state.configuration,
            m_platform_reached ? kLongPollTime : milliseconds(0), now, actions);
  // A process without an instance list reads it immediately: it has to find
  // other processes before it may act on the answers of the service.
  if (m_platform_reached || node_state.instances == Revision{}) {
    ReadIfDue(DocumentKind::kInstances, node_state.instances, milliseconds(0),
              now, actions);
  }
}

std::optional<TimePoint> PlatformReadScheduler::OnResult(
    DocumentKind kind,
    Outcome outcome,
    Revision rejected_revision,
    TimePoint now) {
  ReadState& state = reads(kind);
  const std::optional<TimePoint> sent_at = std::exchange(state.sent_at, {});
  if (!sent_at) {
    return sent_at;
  }
  const bool is_configuration = kind == DocumentKind::kConfiguration;
  if (outcome == Outcome::kUnreachable) {
    ++state.failures;
    state.next = now + RetryDelay(state.failures);
    m_platform_reached = m_platform_reached && !is_configuration;
    return sent_at;
  }
  state.failures = 0;
  // If this process was paused, the result may have waited in a buffer. The
  // contact was no later than the end of the long poll.
  OnContact(std::min<TimePoint>(now, *sent_at + kLongPollTime));
  if (outcome == Outcome::kInvalid) {
    state.rejected_revision = rejected_revision;
    state.rejected_until = now + kRejectedRevisionBackoff;
  }
  if (!is_configuration) {
    state.next = now + InstanceDelay();
    return sent_at;
  }
  const bool again_at_once = m_watcher && outcome == Outcome::kInstalled;
  state.next = again_at_once ? now : std::max(now, *sent_at + kLongPollTime);
  if (outcome == Outcome::kInvalid && rejected_revision == Revision{}) {
    state.next = now + kMinRetryDelay;
  }
  if (!m_platform_reached) {
    m_platform_reached = true;
    // A fallback reader reads the instance list later than the configuration,
    // so that the call rate does not double if all balancers become fallback
    // readers.
    ReadState& instances = reads(DocumentKind::kInstances);
    instances.next =
        std::max(instances.next, m_watcher ? now : now + kLongPollTime);
  }
  if (!m_watcher && !m_starting && *sent_at >= m_fallback_until) {
    m_fallback_until = now + kMinFallbackTime + Below(kMinFallbackTime);
  }
  return sent_at;
}

void PlatformReadScheduler::OnContact(TimePoint contact) {
  m_last_contact = std::max(m_last_contact.value_or(contact), contact);
}

milliseconds PlatformReadScheduler::contact_age(TimePoint now) const {
  if (!m_last_contact || now - *m_last_contact > kMaxContactAge) {
    return kMaxContactAge;
  }
  return std::chrono::duration_cast<milliseconds>(
      std::max(now - *m_last_contact, Duration::zero()));
}

void PlatformReadScheduler::TickLeaf(const NodeState& node_state,
                                     TimePoint now,
                                     std::vector<MeshAction>* actions) {
  if (now - node_state.last_answer < kLeafAnswerTimeout) {
    m_was_reading = false;
    return;
  }
  ReadState& instances = reads(DocumentKind::kInstances);
  if (!m_was_reading) {
    m_was_reading = true;
    instances.next = std::max(instances.next, now + Below(kLeafSpread));
  }
  ReadIfDue(DocumentKind::kInstances, node_state.instances, milliseconds(0),
            now, actions);
}

void PlatformReadScheduler::ReadIfDue(DocumentKind kind,
                                      Revision have,
                                      milliseconds wait,
                                      TimePoint now,
                                      std::vector<MeshAction>* actions) {
  ReadState& state = reads(kind);
  if (state.sent_at || now < state.next) {
    return;
  }
  state.sent_at = now;
  const bool skip = now < state.rejected_until;
  actions->emplace_back(ReadPlatformDocument{
      kind, skip ? std::max(have, state.rejected_revision) : have, wait});
}

Duration PlatformReadScheduler::Below(Duration limit) {
  return Duration(m_random->Below(static_cast<std::uint64_t>(limit.count())));
}

Duration PlatformReadScheduler::InstanceDelay() {
  if (m_leaf) {
    return kLeafSpread + Below(kLeafSpread);
  }
  return m_watcher ? kInstanceInterval : kFallbackInstanceInterval;
}

Duration PlatformReadScheduler::RetryDelay(int failures) {
  if (m_leaf) {
    return kLeafSpread + Below(kLeafSpread);
  }
  if (m_watcher) {
    return kWatcherRetryDelay + Below(kWatcherRetryDelay / 4);
  }
  const Duration delay = std::min<Duration>(
      kMinRetryDelay * (1 << std::min(failures - 1, 4)), kMaxRetryDelay);
  return delay + Below(delay / 4);
}

}  // namespace fireflytrestle
