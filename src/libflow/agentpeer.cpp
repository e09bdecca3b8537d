#include "libflow/agentpeer.h"

#include <algorithm>
#include <cmath>

#include "libflow/agentfailuredetector.h"
#include "libflow/flowknowledge.h"
#include "libsite/siteview.h"

namespace fireflytrestle {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// An agent that returned a SYN because its upstream is full or cold is not
/// preferred for new flows for this long: the duration of a few requests, after
/// which a slot is free again.
constexpr milliseconds kFullBackoff{100};
/// The same for an agent whose upstream accepts no new flows at all, or resets
/// them: until the next reports and the view show this state.
constexpr milliseconds kUnavailableBackoff{500};
/// Work of a request on a cold upstream relative to a warm one, as the users of
/// the balancer describe their upstreams.
constexpr double kColdWorkFactor = 1.6;
/// Weight of a running request in the load for a long-lived flow.
constexpr double kRunningWeight = 0.05;
/// Weight of an open long-lived flow, which may carry a request at any moment,
/// in the load for a short flow.
constexpr double kLongFlowWeight = 0.01;
/// The speed of an upstream counts in these steps for long-lived flows:
/// differences below a quarter are within the error of the estimate, and would
/// send the next flow of every balancer to the same upstream.
constexpr double kSpeedStep = 0.5;
/// Figures are used until this many reports are overdue: the queue of an
/// upstream changes completely in a few hundred milliseconds.
constexpr int kMaxMissedReports = 1;
constexpr double kMilli = 1000.0;
/// Balancers return a handover at the agent's first report, which they get
/// within 50 ms of their first heartbeat to the new run.
constexpr milliseconds kHandoverTimeout{200};
/// Callers pause for seconds between the requests of a long-lived flow.
constexpr std::chrono::seconds kUseTimeout{10};

}  // namespace

void AgentPeer::OnView(const UpstreamEntry* entry,
                       const SiteView& view,
                       TimePoint now) {
  if (m_listed) {
    m_last_listed = now;
  }
  m_listed = entry != nullptr;
  if (entry == nullptr) {
    return;
  }
  m_is_configured = view.configuration_version != 0;
  m_listed_service = entry->service;
  m_zone = entry->zone;
  m_draining = entry->draining;
  m_missing = entry->missing_since.has_value();
  m_zone_out = view.zones_out.contains(entry->zone);
  m_slots = std::max<std::uint32_t>(entry->slots, 1);
  m_entry_revision = entry->revision;
  m_cold_until = entry->received_at + entry->cold_left;
  m_upstream_started = WallTime(milliseconds(entry->started_unix_ms));
  const auto limits = view.services.find(entry->service);
  m_cold_rate_milli =
      limits == view.services.end()
          ? 0
          : static_cast<std::uint32_t>(limits->second.cold_rate * kMilli);
}

bool AgentPeer::IsStale(const AgentStatus& status) const {
  if (status.incarnation == m_incarnation) {
    return status.number != 0 && status.number <= m_report_number;
  }
  return m_last_report && status.incarnation == m_previous_incarnation;
}

void AgentPeer::OnStatus(const AgentStatus& status, TimePoint now) {
  m_last_report = now;
  m_unanswered_queries = 0;
  m_promised_interval =
      status.report_interval.value_or(AgentFailureDetector::kReportInterval);
  if (status.incarnation != m_incarnation) {
    m_previous_incarnation = m_incarnation;
    m_incarnation = status.incarnation;
    m_run_heard = now;
    m_keeps_handover = false;
  }
  m_report_number = status.number;
  m_phase = status.phase;
  m_running = status.running;
  m_long_flows = status.long_flows;
  m_oldest_flow = now - status.oldest_flow;
  m_load = status.load;
  m_placed_short = 0;
  m_placed_long = 0;
  m_reported_service = status.service;
  m_needs_handover = status.needs_handover;
  if (!m_listed) {
    m_zone = status.zone;
  }
}

bool AgentPeer::OnStopNotice(Incarnation incarnation) {
  // The next run of the agent has ended the stop.
  if (incarnation != m_incarnation || m_phase != AgentPhase::kServing) {
    return false;
  }
  m_phase = AgentPhase::kStopping;
  return true;
}

void AgentPeer::RequestReports(milliseconds interval, TimePoint now) {
  if (interval != m_wanted_interval) {
    m_wanted_interval = interval;
    m_reports_wanted_since = now;
  }
}

void AgentPeer::CancelReports() {
  m_wanted_interval = milliseconds(0);
  m_silent = false;
  m_unanswered_queries = 0;
}

void AgentPeer::OnQueried(TimePoint now) {
  ++m_unanswered_queries;
  m_last_query = now;
}

void AgentPeer::OnForwarded(TimePoint now) {
  m_last_forwarded = now;
  RequestReports(AgentFailureDetector::kReportInterval, now);
}

bool AgentPeer::LacksHandover(TimePoint now) const {
  return m_needs_handover && now - m_run_heard >= kHandoverTimeout &&
         now - m_run_heard < FlowKnowledge::kRecoveryTime;
}

bool AgentPeer::IsReporting() const {
  return reports_wanted() && m_promised_interval.count() > 0 &&
         m_promised_interval <= m_wanted_interval && !m_silent &&
         m_last_report && *m_last_report >= m_reports_wanted_since;
}

bool AgentPeer::IsInUse(TimePoint now) const {
  return m_last_forwarded != TimePoint{} &&
         now - m_last_forwarded < kUseTimeout;
}

void AgentPeer::OnFlowPlaced(bool long_lived) {
  ++(long_lived ? m_placed_long : m_placed_short);
}

void AgentPeer::OnSynReturned(ReturnReason reason,
                              std::uint8_t priority,
                              TimePoint now) {
  if (reason == ReturnReason::kUpstreamFull) {
    m_full_priority =
        now < m_full_until ? std::min(m_full_priority, priority) : priority;
    m_full_until = now + kFullBackoff;
    return;
  }
  const bool cold = reason == ReturnReason::kUpstreamCold;
  m_backoff_until = now + (cold ? kFullBackoff : kUnavailableBackoff);
}

bool AgentPeer::IsCandidate() const {
  return m_listed && service() == m_listed_service && !m_draining &&
         !m_zone_out && m_phase == AgentPhase::kServing;
}

bool AgentPeer::IsPreferred(std::uint8_t priority, TimePoint now) const {
  const bool is_full = now < m_full_until && priority >= m_full_priority;
  return IsCandidate() && !m_missing && IsReporting() &&
         now >= m_backoff_until && !is_full;
}

double AgentPeer::Load(bool long_lived, TimePoint now) const {
  const double slots = m_slots;
  const double work = now < m_cold_until ? kColdWorkFactor : 1.0;
  const double running = m_running + m_placed_short + m_placed_long;
  const double flows = m_long_flows + m_placed_long;
  if (long_lived) {
    return work * (flows + kRunningWeight * running) / slots;
  }
  // All upstreams with a free slot count as equally loaded. Otherwise all
  // balancers, which see the same reports, would send their next flow to the
  // same upstream.
  const double queued = std::max(running + 1.0 - slots, 0.0);
  return work * (queued + kLongFlowWeight * flows) / slots;
}

std::optional<double> AgentPeer::Work(TimePoint now) const {
  if (!m_load || !m_last_report ||
      now - *m_last_report > m_promised_interval * (1 + kMaxMissedReports) +
                                 AgentFailureDetector::kDelayAllowance) {
    return std::nullopt;
  }
  return static_cast<double>(m_load->work.count()) / kMilli;
}

double AgentPeer::TimeToAnswer(double typical_work, TimePoint now) const {
  const std::optional<double> reported = Work(now);
  if (!reported) {
    return typical_work * (1.0 + Load(false, now));
  }
  // Samples of a cold upstream already include its slowness.
  const double work = now < m_cold_until
                          ? std::max(*reported, typical_work * kColdWorkFactor)
                          : *reported;
  const double slots = m_slots;
  const double wait = static_cast<double>(m_load->wait.count()) / kMilli;
  const double placed = m_placed_short + m_placed_long;
  // The reported wait is that of the next request. Flows placed since then
  // first use the slots that were free.
  const double queued = m_running < m_slots
                            ? std::max(placed + 1.0 + m_running - slots, 0.0)
                            : placed;
  const double flows = m_long_flows + m_placed_long;
  return work + wait + work * (queued + kLongFlowWeight * flows) / slots;
}

double AgentPeer::LastingLoad(double typical_work, TimePoint now) const {
  const std::optional<double> work = Work(now);
  if (!work) {
    return Load(true, now);
  }
  const double slots = m_slots;
  const double speed = std::max(
      std::round(*work / typical_work / kSpeedStep) * kSpeedStep, kSpeedStep);
  const double wait = static_cast<double>(m_load->wait.count()) / kMilli;
  const double placed = m_placed_short + m_placed_long;
  // Requests that hang count with the number that could have been answered.
  const double running = std::max(static_cast<double>(m_running),
                                  std::floor(wait * slots / typical_work)) +
                         placed;
  const double flows = m_long_flows + m_placed_long;
  return (now < m_cold_until ? std::max(speed, kColdWorkFactor) : speed) *
         (flows + kRunningWeight * running) / slots;
}

BalancerHeartbeat AgentPeer::MakeHeartbeat(
    Incarnation balancer,
    const std::vector<SocketAddress>& new_balancers,
    TimePoint now) const {
  BalancerHeartbeat heartbeat;
  heartbeat.incarnation = balancer;
  if (!IsInStore()) {
    heartbeat.new_balancers = new_balancers;
  }
  if (!m_listed || !m_is_configured) {
    return heartbeat;
  }
  heartbeat.entry_revision = m_entry_revision;
  heartbeat.draining = m_draining;
  heartbeat.zone_out = m_zone_out;
  heartbeat.slots = m_slots;
  heartbeat.cold_left = std::max(
      duration_cast<milliseconds>(m_cold_until - now), milliseconds(0));
  heartbeat.cold_rate_milli = m_cold_rate_milli;
  heartbeat.upstream_started = m_upstream_started;
  return heartbeat;
}

milliseconds AgentPeer::report_age(TimePoint now) const {
  return m_last_report ? duration_cast<milliseconds>(now - *m_last_report)
                       : milliseconds::max();
}

}  // namespace fireflytrestle
