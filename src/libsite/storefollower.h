#ifndef FIREFLYTRESTLE_LIBSITE_STOREFOLLOWER_H_
#define FIREFLYTRESTLE_LIBSITE_STOREFOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/clock.h"
#include "libsite/sharedchanges.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

class RandomSource;
class SiteState;

/// \brief Decides when to list a part of the store and when to watch it for
/// changes.
///
/// There is at most one read in flight. The caller calls OnTick() regularly,
/// performs the read that it returns and passes the answer to OnAnswer().
class StoreFollower {
 public:
  struct Read {
    enum class Kind { kNone, kList, kWatch } kind = Kind::kNone;
    /// Sequence number of the read. An answer with another number is late and
    /// is ignored.
    std::uint64_t number = 0;
    /// For kList: read the page that starts after this key.
    std::string after_key;
    /// For kWatch: wait for changes after this revision.
    Revision after{};
    /// For kWatch: how long the store waits for a change before it answers.
    std::chrono::milliseconds wait{0};
  };

  /// How long a watch waits for changes.
  static constexpr std::chrono::milliseconds kWatchWait{750};
  /// A read has failed if its answer does not begin within its wait plus this
  /// time.
  static constexpr std::chrono::milliseconds kAnswerTimeout{800};
  /// A process whose watch is late by this much no longer counts as a reader;
  /// its connection may be dead.
  static constexpr std::chrono::milliseconds kLateWatch{400};
  /// A passive follower reads the store itself if nobody has confirmed its
  /// state for this long. Longer than a watch and a lost heartbeat take, and
  /// short enough for a change to be in effect 3 s after it was made, whatever
  /// happens to the readers.
  static constexpr std::chrono::milliseconds kMaxConfirmationAge{1700};
  /// Bound of a random addition to it, so that not all read at once.
  static constexpr std::chrono::milliseconds kMaxConfirmationJitter{200};

  StoreFollower(std::string prefix, SiteState* state, RandomSource* random);

  /// Returns the next read if one is due.
  Read OnTick(TimePoint now);

  /// Handles the answer to a read. Returns whether the site's view changed.
  bool OnAnswer(std::uint64_t number, const StoreAnswer& answer, TimePoint now);

  /// Applies changes that another process has read. Returns whether the site's
  /// view changed.
  bool OnSharedChanges(const SharedChanges& changes, TimePoint now);

  /// Returns a message without changes, from which the receivers see whether
  /// they missed any.
  SharedChanges MakeHeartbeat(TimePoint now) const;

  /// A passive follower relies on other processes for changes. It reads from
  /// the store only the first listing, changes that it missed, and its state if
  /// that has not been confirmed for too long.
  void SetPassive(bool passive, TimePoint now);
  bool passive() const { return m_passive; }
  /// Whether this process reads the store itself and has received an answer
  /// since it began to, within the last kWatchWait plus kLateWatch.
  bool ReadsStore(TimePoint now) const;

  /// Revision up to which all changes have been received.
  Revision position() const { return m_position; }
  /// Revision after which nothing has changed up to position(). The revision of
  /// the store also increases with changes of its other parts, which do not
  /// concern the processes that follow this one.
  Revision unchanged_since() const { return m_unchanged_since; }
  bool listed() const { return m_listed; }
  /// Whether the next or pending read is a watch.
  bool watches() const { return m_listed && !m_must_list; }

  const std::string& prefix() const { return m_prefix; }
  /// Last time as of which the state is known to have matched the store, by an
  /// answer to this process or to another one that reads the store; the epoch
  /// before the first answer.
  TimePoint confirmed_at() const { return m_confirmed_at; }
  /// Whether the state is up to date: after the first listing, as long as the
  /// last read did not fail or another process has sent its changes recently.
  bool IsCurrent(TimePoint now) const;

 private:
  bool OnPage(const StoreAnswer& answer, TimePoint now);
  bool OnEvents(const StoreAnswer& answer, TimePoint now);
  void OnFailure(TimePoint now);
  /// Another process knows a change that did not arrive here.
  bool MissedChange() const { return m_newest_change > m_position; }
  /// Whether a passive follower needs nothing from the store.
  bool IsUpdatedByPeers(TimePoint now) const;

  std::string m_prefix;
  SiteState* m_state;
  RandomSource* m_random;
  bool m_listed = false;
  /// The changes are too many to be read by a watch.
  bool m_must_list = false;
  bool m_read_pending = false;
  bool m_passive = false;
  /// When this process began to read the store itself.
  TimePoint m_active_since{};
  /// Newest change that another process knows, and when it last said so before
  /// the change arrived here.
  Revision m_newest_change{};
  TimePoint m_change_announced{};
  std::chrono::milliseconds m_confirmation_jitter;
  std::uint64_t m_read_number = 0;
  TimePoint m_read_began{};
  TimePoint m_next_read{};
  TimePoint m_confirmed_at{};
  TimePoint m_last_read{};
  TimePoint m_last_shared{};
  int m_failures = 0;
  /// Revision from which the next watch starts.
  Revision m_position{};
  Revision m_unchanged_since{};
  /// Items of the pages received so far of a listing in progress.
  std::vector<StoreItem> m_pages;
  Revision m_list_as_of{};
  /// The position when that listing began.
  Revision m_position_before_list{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_STOREFOLLOWER_H_
