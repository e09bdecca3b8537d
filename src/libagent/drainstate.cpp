#include "libagent/drainstate.h"

namespace fireflytrestle {

void DrainState::SetUpstreamDraining(bool draining, TimePoint now) {
  m_upstream_draining = draining;
  Update(now);
}

void DrainState::SetLeaving(bool leaving, TimePoint now) {
  m_leaving = leaving;
  Update(now);
}

void DrainState::SetStopping(TimePoint now) {
  m_stopping = true;
  Update(now);
}

void DrainState::Update(TimePoint now) {
  if (!m_upstream_draining && !m_leaving && !m_stopping) {
    m_since.reset();
  } else if (!m_since) {
    m_since = now;
  }
}

}  // namespace fireflytrestle
