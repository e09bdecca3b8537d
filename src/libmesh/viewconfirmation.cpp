#include "libmesh/viewconfirmation.h"

namespace fireflytrestle {

void ViewConfirmation::OnHeartbeatAnswer(TimePoint sent_at,
                                         bool confirmed,
                                         const Version& peer_version,
                                         const Version& own_version,
                                         TimePoint now) {
  m_has_answer = true;
  if (confirmed) {
    m_only_unconfirmed_since.reset();
    m_last_confirmed_answer = now;
    if (peer_version <= own_version && own_version.first != Revision{}) {
      m_lease.Confirm(sent_at);
    } else if (!m_pending || m_pending->sent_at < sent_at) {
      m_pending = Pending{sent_at, peer_version};
    }
    return;
  }
  if (IsConfirmed(now)) {
    return;
  }
  if (!m_only_unconfirmed_since ||
      now - m_last_unconfirmed_answer > kGracePeriod) {
    m_only_unconfirmed_since = now;
  }
  m_last_unconfirmed_answer = now;
  if (own_version.first != Revision{} && peer_version <= own_version &&
      now - *m_only_unconfirmed_since >= kGracePeriod) {
    m_lease.Confirm(sent_at);
  }
}

void ViewConfirmation::OnPlatformAnswer(TimePoint sent_at,
                                        const Version& own_version,
                                        TimePoint now) {
  if (own_version.first != Revision{} &&
      (IsConfirmed(now) || IsGracePeriodOver(now))) {
    m_lease.Confirm(sent_at);
  }
}

void ViewConfirmation::OnDocumentInstalled(const Version& own_version) {
  if (m_pending && m_pending->version <= own_version) {
    m_lease.Confirm(m_pending->sent_at);
    m_pending.reset();
  }
}

void ViewConfirmation::OnTick(bool resumed, TimePoint now) {
  if (IsConfirmed(now)) {
    m_unconfirmed_since.reset();
    m_only_unconfirmed_since.reset();
    return;
  }
  if (resumed || !m_unconfirmed_since) {
    m_unconfirmed_since = now;
  }
  if (resumed) {
    m_only_unconfirmed_since.reset();
  }
}

void ViewConfirmation::RestartGracePeriod(TimePoint now) {
  if (m_unconfirmed_since) {
    m_unconfirmed_since = now;
  }
}

bool ViewConfirmation::IsGracePeriodOver(TimePoint now) const {
  return m_unconfirmed_since && now - *m_unconfirmed_since >= kGracePeriod &&
         (!m_last_confirmed_answer ||
          now - *m_last_confirmed_answer >= kGracePeriod);
}

}  // namespace fireflytrestle
