#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTPEER_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTPEER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

struct SiteView;
struct UpstreamEntry;

/// \brief State of one agent and its upstream at a balancer, combined from the
/// site view and the agent's own reports.
class AgentPeer {
 public:
  explicit AgentPeer(const SocketAddress& address) : m_address(address) {}

  /// Applies the upstream's entry in \p view; \p entry is null if the view no
  /// longer has one.
  void OnView(const UpstreamEntry* entry, const SiteView& view, TimePoint now);

  /// Whether \p status was sent before the last one that was applied, in the
  /// same run of the agent or in the one before.
  bool IsStale(const AgentStatus& status) const;
  void OnStatus(const AgentStatus& status, TimePoint now);
  /// Handles the notice of a planned stop that another balancer has received
  /// from the run \p incarnation. Returns whether it was not known here.
  bool OnStopNotice(Incarnation incarnation);
  /// Requests regular reports from the agent, or cancels the request. Whether
  /// an agent is silent is known only while reports are wanted.
  void RequestReports(std::chrono::milliseconds interval, TimePoint now);
  void CancelReports();
  bool reports_wanted() const { return m_wanted_interval.count() > 0; }
  /// Requested interval of reports; 0 for none.
  std::chrono::milliseconds wanted_interval() const {
    return m_wanted_interval;
  }
  /// When the present request began.
  TimePoint reports_wanted_since() const { return m_reports_wanted_since; }
  /// Whether the agent reports as often as requested and is not silent.
  bool IsReporting() const;

  /// Records that the agent was asked for a report that is overdue.
  void OnQueried(TimePoint now);
  /// Discards the queries that were sent while answers could not be expected.
  void ClearQueries() { m_unanswered_queries = 0; }
  /// Number of queries since the last report.
  int unanswered_queries() const { return m_unanswered_queries; }
  TimePoint last_query() const { return m_last_query; }

  /// Records that a packet was forwarded to the agent, and requests frequent
  /// reports.
  void OnForwarded(TimePoint now);
  /// Whether packets were forwarded to the agent recently, so that its loss has
  /// to be detected.
  bool IsInUse(TimePoint now) const;

  /// Counts a new flow that was sent to the agent and that its reports do not
  /// include yet.
  void OnFlowPlaced(bool long_lived);
  /// Handles a SYN of a flow with \p priority that the agent returned: for a
  /// while, which depends on \p reason, the agent is not preferred for new
  /// flows. One whose upstream is full is still preferred for those of a higher
  /// priority.
  void OnSynReturned(ReturnReason reason, std::uint8_t priority, TimePoint now);

  /// Whether the upstream may get new flows: the view lists it with the service
  /// that its agent reports, it is not draining, its zone is not out, and its
  /// agent's phase is serving.
  bool IsCandidate() const;
  /// Whether the upstream is a candidate that is not missing from the store,
  /// and whose agent reports regularly and has not returned a SYN of \p
  /// priority or a higher one a moment ago.
  bool IsPreferred(std::uint8_t priority, TimePoint now) const;

  /// Whether the upstream holds a flow that opened before \p time, according to
  /// the last report.
  bool HasFlowOlderThan(TimePoint time) const {
    return m_last_report && m_oldest_flow < time;
  }

  /// Whether the agent has started a moment ago, says that it needs a handover,
  /// and would have got one by now if it had been stopped as planned before.
  bool LacksHandover(TimePoint now) const;

  /// Whether the agent needed a handover at its last report: it does not know
  /// whether its upstream holds flows from before its run.
  bool needs_handover() const { return m_needs_handover; }

  /// Whether this balancer keeps the handover of the agent's last run, from
  /// OnHandover() until the next run is heard.
  void OnHandover() { m_keeps_handover = true; }
  bool keeps_handover() const { return m_keeps_handover; }

  /// Whether the upstream has ended: its agent reports it as down, or its
  /// registration is missing and its agent has never reported.
  bool IsGone() const {
    return m_phase == AgentPhase::kUpstreamDown ||
           (m_missing && !m_last_report);
  }

  /// Expected wait of a new flow, in units of the work of one request, from the
  /// number of requests and flows alone; lower is better.
  double Load(bool long_lived, TimePoint now) const;

  /// Returns the expected work of a request in milliseconds; empty if the agent
  /// does not report it or its last report is older than usual.
  std::optional<double> Work(TimePoint now) const;

  /// Returns the expected time until a request of a new short flow is answered,
  /// in milliseconds. \p typical_work is the work of a request at the other
  /// upstreams, which is assumed here as well if Work() is empty.
  double TimeToAnswer(double typical_work, TimePoint now) const;

  /// Returns the load for a new long-lived flow: the flows of each slot,
  /// weighted with the upstream's speed. Equal to Load() if Work() is empty.
  double LastingLoad(double typical_work, TimePoint now) const;

  /// Whether the upstream is in its cold start.
  bool IsCold(TimePoint now) const { return now < m_cold_until; }

  /// Returns the heartbeat for the agent: its upstream's entry in the view, and
  /// \p new_balancers if the store has no entry. Before the first configuration
  /// the entry is left out, because the limits of its service are not known.
  BalancerHeartbeat MakeHeartbeat(
      Incarnation balancer,
      const std::vector<SocketAddress>& new_balancers,
      TimePoint now) const;

  const SocketAddress& address() const { return m_address; }
  /// Service of the upstream as the agent reports it; before the first report
  /// as the view has or had it.
  const std::string& service() const {
    return m_reported_service.empty() ? m_listed_service : m_reported_service;
  }
  /// Service that the view has or last had for the agent's address; empty if it
  /// never had one.
  const std::string& listed_service() const { return m_listed_service; }
  /// Revision of that entry.
  Revision entry_revision() const { return m_entry_revision; }
  const std::string& zone() const { return m_zone; }
  /// Identifies the agent's current run; zero before its first report.
  Incarnation incarnation() const { return m_incarnation; }
  AgentPhase phase() const { return m_phase; }
  std::uint32_t running() const { return m_running; }
  std::optional<TimePoint> last_report() const { return m_last_report; }
  std::chrono::milliseconds report_age(TimePoint now) const;
  bool listed() const { return m_listed; }
  /// Whether the store has an entry; the view lists one for a while longer.
  bool IsInStore() const { return m_listed && !m_missing; }
  /// When the view last listed the agent; the epoch if it never did.
  TimePoint last_listed() const { return m_last_listed; }
  bool silent() const { return m_silent; }
  void set_silent(bool silent) { m_silent = silent; }

 private:
  SocketAddress m_address;
  std::string m_zone;

  // From the site view.
  std::string m_listed_service;
  TimePoint m_last_listed{};
  bool m_listed = false;
  /// The view has a configuration, and with it the limits of the service.
  bool m_is_configured = false;
  bool m_draining = false;
  bool m_zone_out = false;
  bool m_missing = false;
  Revision m_entry_revision{};
  std::uint32_t m_slots = 1;
  TimePoint m_cold_until{};
  std::uint32_t m_cold_rate_milli = 0;
  WallTime m_upstream_started{};

  int m_unanswered_queries = 0;
  TimePoint m_last_query{};
  std::chrono::milliseconds m_wanted_interval{0};
  TimePoint m_reports_wanted_since{};
  TimePoint m_last_forwarded{};

  // From the agent's reports and answers.
  std::string m_reported_service;
  /// When the agent's present run was first heard of.
  TimePoint m_run_heard{};
  std::optional<TimePoint> m_last_report;
  /// Interval of reports according to the last one; 0 if none follow.
  std::chrono::milliseconds m_promised_interval{0};
  Incarnation m_incarnation{};
  Incarnation m_previous_incarnation{};
  /// Number of the last report; 0 if the agent does not number them.
  std::uint64_t m_report_number = 0;
  AgentPhase m_phase = AgentPhase::kServing;
  bool m_needs_handover = false;
  bool m_keeps_handover = false;
  std::uint32_t m_running = 0;
  std::optional<UpstreamLoad> m_load;
  std::uint32_t m_long_flows = 0;
  /// Opening time of the oldest open flow, according to the last report.
  TimePoint m_oldest_flow{};
  bool m_silent = false;
  /// Until \ref m_full_until the upstream counts as full for flows of this
  /// priority and lower ones.
  std::uint8_t m_full_priority = 0;
  TimePoint m_full_until{};
  TimePoint m_backoff_until{};
  /// Flows sent to the agent since its last report.
  std::uint32_t m_placed_short = 0;
  std::uint32_t m_placed_long = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTPEER_H_
