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
/// One read is under way at a time. The adapter calls OnTick(), performs the
/// read that it returns and reports the answer to OnAnswer().
class StoreFollower {
 public:
  struct Read {
    enum class Kind { kNone, kList, kWatch } kind = Kind::kNone;
    /// Counts the reads, so that a late answer is not taken for a newer one.
    std::uint64_t number = 0;
    /// Page of a list to read: keys after this one.
    std::string after_key;
    /// Watch for changes after this revision.
    Revision after{};
    std::chrono::milliseconds wait{0};
  };

  /// How long a watch waits. A connection that went silent is noticed only at
  /// its end, and an instance counts as undisturbed again 4 s after that.
  static constexpr std::chrono::milliseconds kWatchWait{3000};
  /// The same for a process that tells others of the changes: they notice a
  /// silent reader as fast as it does.
  static constexpr std::chrono::milliseconds kSharingWatchWait{1000};
  /// A read that is not answered this long after its wait has failed.
  static constexpr std::chrono::milliseconds kAnswerTimeout{800};

  /// \p watch_wait is how long a watch waits for changes.
  StoreFollower(std::string prefix,
                SiteState* state,
                RandomSource* random,
                std::chrono::milliseconds watch_wait = kWatchWait);

  /// Returns the next read if one is due.
  Read OnTick(TimePoint now);

  /// Takes the answer to a read. Returns whether the site's view changed.
  bool OnAnswer(std::uint64_t number, const StoreAnswer& answer, TimePoint now);

  /// Takes changes that another process read. Returns whether the site's view
  /// changed.
  bool OnSharedChanges(const SharedChanges& changes, TimePoint now);

  /// Whether to rely on other processes for changes and read only what they
  /// missed. The first list is read in any case.
  void set_passive(bool passive) { m_passive = passive; }
  bool passive() const { return m_passive; }
  /// Whether this process reads the store and got an answer lately.
  bool ReadsStore(TimePoint now) const;

  /// Changes up to here are known.
  Revision position() const { return m_position; }
  bool listed() const { return m_listed; }

  const std::string& prefix() const { return m_prefix; }
  /// When the store or another process last told of changes or that there are
  /// none; the epoch before the first time.
  TimePoint last_contact() const { return m_last_contact; }
  /// Whether the store's state is known, from it or from other processes.
  bool IsCurrent(TimePoint now) const;

 private:
  bool OnPage(const StoreAnswer& answer, TimePoint now);
  bool OnEvents(const StoreAnswer& answer, TimePoint now);
  void OnFailure(TimePoint now);

  std::string m_prefix;
  SiteState* m_state;
  RandomSource* m_random;
  std::chrono::milliseconds m_watch_wait;
  bool m_listed = false;
  bool m_read_pending = false;
  bool m_passive = false;
  /// Others know of changes that did not arrive here.
  bool m_missed_changes = false;
  std::uint64_t m_read_number = 0;
  TimePoint m_next_read{};
  TimePoint m_last_contact{};
  TimePoint m_last_read{};
  TimePoint m_last_shared{};
  int m_failures = 0;
  /// Watch from here.
  Revision m_position{};
  /// Pages of a listing under way.
  std::vector<StoreItem> m_pages;
  Revision m_list_as_of{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_STOREFOLLOWER_H_
