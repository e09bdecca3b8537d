#include "libsite/storefollower.h"

#include <algorithm>
#include <utility>

#include "libbase/randomsource.h"
#include "libsite/changerelay.h"
#include "libsite/sitestate.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Pause after a failed read, doubled up to the longest one. Changes have to
/// be in force 3 s after the store serves again.
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{800};
constexpr int kMaxDoublings = 3;
/// Changes come in bursts; those of this time share the next answer.
constexpr milliseconds kBatchWindow{250};

}  // namespace

StoreFollower::StoreFollower(std::string prefix,
                             SiteState* state,
                             RandomSource* random,
                             milliseconds watch_wait)
    : m_prefix(std::move(prefix)),
      m_state(state),
      m_random(random),
      m_watch_wait(watch_wait) {}

StoreFollower::Read StoreFollower::OnTick(TimePoint now) {
  const bool updated_by_peers = m_passive && m_listed && !m_missed_changes;
  if (m_read_pending || now < m_next_read || updated_by_peers) {
    return {};
  }
  m_read_pending = true;
  Read read;
  read.number = ++m_read_number;
  if (!m_listed) {
    read.kind = Read::Kind::kList;
    read.after_key = m_pages.empty() ? std::string() : m_pages.back().key;
    return read;
  }
  read.kind = Read::Kind::kWatch;
  read.after = m_position;
  // After a failure the first answer must come at once, to tell that the store
  // serves again.
  const bool at_once = m_failures > 0 || m_passive;
  read.wait = at_once ? milliseconds(0) : m_watch_wait;
  return read;
}

bool StoreFollower::OnAnswer(std::uint64_t number,
                             const StoreAnswer& answer,
                             TimePoint now) {
  if (number != m_read_number || !m_read_pending) {
    return false;
  }
  m_read_pending = false;
  switch (answer.outcome) {
    case StoreAnswer::Outcome::kFailed:
      OnFailure(now);
      return false;
    case StoreAnswer::Outcome::kHistoryGone:
      m_listed = false;
      m_pages.clear();
      m_last_contact = now;
      return false;
    case StoreAnswer::Outcome::kItems:
      break;
  }
  m_failures = 0;
  m_missed_changes = false;
  m_last_contact = now;
  m_last_read = now;
  return m_listed ? OnEvents(answer, now) : OnPage(answer, now);
}

bool StoreFollower::OnPage(const StoreAnswer& answer, TimePoint now) {
  // Pages are not a snapshot: changes since the first one are watched for.
  if (m_pages.empty()) {
    m_list_as_of = answer.as_of;
  }
  m_pages.insert(m_pages.end(), answer.items.begin(), answer.items.end());
  if (answer.more && !answer.items.empty()) {
    return false;
  }
  const std::vector<StoreItem> items = std::exchange(m_pages, {});
  if (m_list_as_of < m_position) {
    // An answer from before a newer one; what is known stays.
    m_next_read = now + kMinRetryDelay;
    return false;
  }
  m_listed = true;
  m_position = m_list_as_of;
  return m_state->Replace(m_prefix, items, m_list_as_of, now);
}

bool StoreFollower::OnEvents(const StoreAnswer& answer, TimePoint now) {
  bool changed = false;
  for (const StoreItem& item : answer.items) {
    changed |= m_state->Apply(item, now);
  }
  m_position = std::max(m_position, answer.as_of);
  if (!answer.items.empty()) {
    m_next_read = now + kBatchWindow;
  }
  return changed;
}

bool StoreFollower::IsCurrent(TimePoint now) const {
  const bool shared_recently =
      now - m_last_shared < ChangeRelay::kHeartbeatTimeout;
  return m_listed && (m_failures == 0 || shared_recently);
}

bool StoreFollower::ReadsStore(TimePoint now) const {
  return !m_passive && m_listed && m_failures == 0 &&
         now - m_last_read <= kSharingWatchWait + kAnswerTimeout;
}

bool StoreFollower::OnSharedChanges(const SharedChanges& changes,
                                    TimePoint now) {
  bool changed = false;
  // Each item counts by its own revision, also if changes before it are
  // missing.
  for (const StoreItem& item : changes.items) {
    if (item.key.starts_with(m_prefix)) {
      changed |= m_state->Apply(item, now);
    }
  }
  if (!m_listed || !changes.reads_store) {
    return changed;
  }
  m_missed_changes = changes.after > m_position;
  if (!m_missed_changes) {
    m_position = std::max(m_position, changes.as_of);
    m_last_contact = now;
    m_last_shared = now;
  }
  return changed;
}

void StoreFollower::OnFailure(TimePoint now) {
  ++m_failures;
  const int doublings = std::min(m_failures - 1, kMaxDoublings);
  const milliseconds pause =
      std::min(kMinRetryDelay * (1 << doublings), kMaxRetryDelay);
  // Spread, so that processes that failed together do not return together.
  m_next_read =
      now + pause +
      milliseconds(m_random->Below(static_cast<std::uint64_t>(pause.count())));
}

}  // namespace fireflytrestle
