#ifndef FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_
#define FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libmesh/viewlease.h"

namespace fireflytrestle {

/// \brief Decides which answers confirm the view of this process and so extend
/// its lease.
///
/// An answer of a confirmed process confirms the view. If it names a newer
/// configuration, it does so only once that configuration is in force.
///
/// An answer of the configuration service extends a lease that is held. It
/// renews an expired one only if the lease has been expired and no confirmed
/// process has answered for kGracePeriod, because the service may return stale
/// data.
///
/// Unconfirmed processes confirm each other once only unconfirmed processes
/// have answered for kGracePeriod.
class ViewConfirmation {
 public:
  /// Revision and digest of a configuration.
  using Version = std::pair<Revision, std::uint64_t>;

  static constexpr std::chrono::milliseconds kGracePeriod{2000};

  explicit ViewConfirmation(TimePoint now) : m_unconfirmed_since(now) {}

  /// Handles an answer of another process to a heartbeat sent at \p sent_at.
  void OnHeartbeatAnswer(TimePoint sent_at,
                         bool confirmed,
                         const Version& peer_version,
                         const Version& own_version,
                         TimePoint now);

  /// Handles an answer of the configuration service to a read sent at
  /// \p sent_at.
  void OnPlatformAnswer(TimePoint sent_at,
                        const Version& own_version,
                        TimePoint now);

  /// Handles the installation of a configuration. Confirms the view if an
  /// answer of a confirmed process is pending that named it or an older one.
  void OnDocumentInstalled(const Version& own_version);

  /// \p resumed means that this process was paused, so its record of answers
  /// from other processes is out of date.
  void OnTick(bool resumed, TimePoint now);

  /// Restarts the grace period when the first instance list names processes
  /// that this process could not contact before.
  void RestartGracePeriod(TimePoint now);

  bool IsConfirmed(TimePoint now) const { return m_lease.IsHeld(now); }

  /// Returns when the request was sent whose answer last confirmed the view.
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
  /// Start of the current period without a lease, as observed by OnTick().
  std::optional<TimePoint> m_unconfirmed_since;
  /// Start of the current period in which only unconfirmed processes have
  /// answered.
  std::optional<TimePoint> m_only_unconfirmed_since;
  TimePoint m_last_unconfirmed_answer{};
  std::optional<TimePoint> m_last_confirmed_answer;
  std::optional<Pending> m_pending;
  bool m_has_answer = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_VIEWCONFIRMATION_H_
