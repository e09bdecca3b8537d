#ifndef FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_
#define FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libmesh/viewlease.h"

namespace fireflytrestle {

/// \brief Decides which answers confirm the view of this process, and so extend
/// its lease.
///
/// An answer of a confirmed process confirms unless it names a newer
/// configuration; then it does so once that one is in force. The service
/// confirms a held lease; an expired one only when no confirmed process has
/// answered for kGracePeriod, because the service may be stale. Unconfirmed
/// processes confirm one another when only such have answered for kGracePeriod.
class ViewConfirmation {
 public:
  /// Revision and digest of a configuration.
  using Version = std::pair<Revision, std::uint64_t>;

  static constexpr std::chrono::milliseconds kGracePeriod{2000};

  explicit ViewConfirmation(TimePoint now) : m_unconfirmed_since(now) {}

  /// Another process answered a heartbeat sent at \p asked.
  void OnHeartbeatAnswer(TimePoint sent_at,
                         bool confirmed,
                         const Version& peer_version,
                         const Version& own_version,
                         TimePoint now);

  /// The service answered a call made at \p asked.
  void OnPlatformAnswer(TimePoint sent_at,
                        const Version& own_version,
                        TimePoint now);

  void OnDocumentInstalled(const Version& own_version);

  /// \p resumed tells that this process has not run for a while: what it knew
  /// of the answers of others is out of date.
  void OnTick(bool resumed, TimePoint now);

  /// Starts the grace period again: processes are known now that could not be
  /// asked before.
  void RestartGracePeriod(TimePoint now);

  bool IsConfirmed(TimePoint now) const { return m_lease.IsHeld(now); }

  /// Time of the question whose answer confirmed last.
  TimePoint last_confirmed() const {
    return m_lease.until() - kViewLeaseDuration;
  }

  bool has_answer() const { return m_has_answer; }
  const ViewLease& lease() const { return m_lease; }

 private:
  struct Pending {
    TimePoint sent_at;
    Version version;
  };

  bool IsGracePeriodOver(TimePoint now) const;

  ViewLease m_lease;
  /// Start of the present time without a lease, as seen by OnTick().
  std::optional<TimePoint> m_unconfirmed_since;
  /// Start of the present run of answers from unconfirmed processes only.
  std::optional<TimePoint> m_only_unconfirmed_since;
  TimePoint m_last_unconfirmed_answer{};
  std::optional<TimePoint> m_last_confirmed_answer;
  std::optional<Pending> m_pending;
  bool m_has_answer = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_
