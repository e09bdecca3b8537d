#include "libsite/storefollower.h"

#include <algorithm>
#include <utility>

#include "libbase/randomsource.h"
#include "libsite/changerelay.h"
#include "libsite/sitestate.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Exponential backoff after failed reads. The longest delay is short because
/// changes have to be applied within 3 s after the store is available again.
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{800};
constexpr int kMaxDoublings = 3;
/// Delay before the next watch after changes have arrived. Changes come in
/// bursts, and one answer then returns all changes of this time.
constexpr milliseconds kBatchWindow{250};

}  // namespace

StoreFollower::StoreFollower(std::string prefix,
                             SiteState* state,
                             RandomSource* random)
    : m_prefix(std::move(prefix)),
      m_state(state),
      m_random(random),
      m_confirmation_jitter(static_cast<std::int64_t>(random->Below(
          static_cast<std::uint64_t>(kMaxConfirmationJitter.count())))) {}

bool StoreFollower::IsUpdatedByPeers(TimePoint now) const {
  return m_passive && m_listed && !MissedChange() &&
         now - m_confirmed_at < kMaxConfirmationAge + m_confirmation_jitter;
}

StoreFollower::Read StoreFollower::OnTick(TimePoint now) {
  if (m_read_pending || now < m_next_read || IsUpdatedByPeers(now)) {
    return {};
  }
  m_read_pending = true;
  if (m_pages.empty()) {
    m_read_began = now;
  }
  Read read;
  read.number = ++m_read_number;
  if (!watches()) {
    read.kind = Read::Kind::kList;
    if (m_pages.empty()) {
      m_position_before_list = m_position;
    } else {
      read.after_key = m_pages.back().key;
    }
    return read;
  }
  read.kind = Read::Kind::kWatch;
  read.after = m_position;
  // After a failure the store has to answer immediately, to show that it is
  // available again. A passive process only fetches the changes that it missed.
  // One that takes over has to find out whether it reaches the store.
  const bool at_once =
      m_failures > 0 || m_passive || m_last_read < m_active_since;
  read.wait = at_once ? milliseconds(0) : kWatchWait;
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
      return false;
    case StoreAnswer::Outcome::kTooLarge:
      if (!watches()) {
        OnFailure(now);
      }
      m_must_list = true;
      m_pages.clear();
      return false;
    case StoreAnswer::Outcome::kItems:
      break;
  }
  m_failures = 0;
  m_last_read = now;
  const bool changed = watches() ? OnEvents(answer, now) : OnPage(answer, now);
  if (watches()) {
    m_confirmed_at = now;
    if (m_change_announced <= m_read_began) {
      // The store itself does not have a later change.
      m_newest_change = std::min(m_newest_change, m_position);
    }
  }
  return changed;
}

bool StoreFollower::OnPage(const StoreAnswer& answer, TimePoint now) {
  // The pages are not one snapshot. The watch therefore starts at the revision
  // of the first page.
  if (m_pages.empty()) {
    m_list_as_of = answer.as_of;
  }
  m_pages.insert(m_pages.end(), answer.items.begin(), answer.items.end());
  if (answer.more && !answer.items.empty()) {
    return false;
  }
  const std::vector<StoreItem> items = std::exchange(m_pages, {});
  if (m_list_as_of < m_position_before_list) {
    // The listing is older than the changes that were applied before it, so it
    // is discarded and read again.
    m_next_read = now + kMinRetryDelay;
    return false;
  }
  m_listed = true;
  m_must_list = false;
  m_position = std::max(m_position, m_list_as_of);
  m_unchanged_since = std::max(m_unchanged_since, m_list_as_of);
  return m_state->Replace(m_prefix, items, m_list_as_of, now);
}

bool StoreFollower::OnEvents(const StoreAnswer& answer, TimePoint now) {
  bool changed = false;
  for (const StoreItem& item : answer.items) {
    changed |= m_state->Apply(item, now);
  }
  m_position = std::max(m_position, answer.as_of);
  if (!answer.items.empty()) {
    m_unchanged_since = m_position;
    m_next_read = now + kBatchWindow;
  }
  return changed;
}

bool StoreFollower::IsCurrent(TimePoint now) const {
  const bool shared_recently =
      now - m_last_shared < ChangeRelay::kHeartbeatTimeout;
  return m_listed && (m_failures == 0 || shared_recently);
}

void StoreFollower::SetPassive(bool passive, TimePoint now) {
  if (m_passive && !passive) {
    m_active_since = now;
  }
  m_passive = passive;
}

bool StoreFollower::ReadsStore(TimePoint now) const {
  return !m_passive && m_listed && m_failures == 0 &&
         m_last_read >= m_active_since &&
         now - m_last_read <= kWatchWait + kLateWatch;
}

bool StoreFollower::OnSharedChanges(const SharedChanges& changes,
                                    TimePoint now) {
  bool changed = false;
  // SiteState orders items by their own revision, so they can be applied even
  // if earlier changes are missing.
  for (const StoreItem& item : changes.items) {
    if (item.key.starts_with(m_prefix)) {
      changed |= m_state->Apply(item, now);
    }
  }
  if (!m_listed || !changes.reads_store) {
    return changed;
  }
  m_newest_change = std::max(m_newest_change, changes.after);
  if (changes.after > m_position) {
    m_change_announced = now;
    return changed;
  }
  if (!changes.items.empty() && changes.as_of > m_position) {
    m_unchanged_since = changes.as_of;
  }
  m_position = std::max(m_position, changes.as_of);
  if (!MissedChange()) {
    m_confirmed_at = std::max(m_confirmed_at, now - changes.age);
    m_last_shared = now;
  }
  return changed;
}

SharedChanges StoreFollower::MakeHeartbeat(TimePoint now) const {
  SharedChanges heartbeat;
  heartbeat.prefix = m_prefix;
  heartbeat.reads_store = ReadsStore(now);
  heartbeat.age = std::chrono::duration_cast<milliseconds>(now - m_last_read);
  heartbeat.after = m_unchanged_since;
  heartbeat.as_of = m_position;
  return heartbeat;
}

void StoreFollower::OnFailure(TimePoint now) {
  ++m_failures;
  const int doublings = std::min(m_failures - 1, kMaxDoublings);
  const milliseconds pause =
      std::min(kMinRetryDelay * (1 << doublings), kMaxRetryDelay);
  // Jitter, so that processes whose reads failed at the same time do not retry
  // at the same time.
  m_next_read =
      now + pause +
      milliseconds(m_random->Below(static_cast<std::uint64_t>(pause.count())));
}

}  // namespace fireflytrestle
