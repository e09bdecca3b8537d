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

/// \brief What a balancer knows of one agent and its upstream: from the site's
/// view and from the agent's own reports.
class AgentPeer {
 public:
  explicit AgentPeer(const SocketAddress& address) : m_address(address) {}

  /// Takes the upstream's entry in \p view, null if there is none any more.
  void OnView(const UpstreamEntry* entry, const SiteView& view);

  void OnStatus(const AgentStatus& status, TimePoint now);
  /// A new flow was sent here; it is not in a report yet.
  void OnFlowPlaced(bool long_lived);
  /// A SYN came back. \p hold_off keeps further ones away.
  void OnSynReturned(ReturnReason reason, TimePoint now);

  /// The upstream may get new flows as far as the view says.
  bool IsCandidate() const;
  /// As IsCandidate(), and neither a report nor a returned SYN speaks against
  /// it.
  bool IsPreferred(TimePoint now) const;

  /// The upstream holds a flow that opened before \p time.
  bool HasFlowOlderThan(TimePoint time) const {
    return m_heard && m_oldest_flow < time;
  }

  /// The upstream has ended: its agent says so, or it is neither registered any
  /// more nor heard of.
  bool IsGone() const {
    return m_phase == AgentPhase::kUpstreamDown || (m_missing && !m_heard);
  }

  /// Expected wait for a new flow in units of one request's work; lower is
  /// better.
  double Load(bool long_lived, TimePoint now) const;

  /// The upstream started a moment ago.
  bool IsCold(TimePoint now) const { return now < m_cold_until; }

  /// What the agent must know of its upstream.
  BalancerHeartbeat MakeHeartbeat(
      Incarnation balancer,
      const std::vector<SocketAddress>& new_balancers,
      TimePoint now) const;

  const SocketAddress& address() const { return m_address; }
  const std::string& service() const { return m_service; }
  const std::string& zone() const { return m_zone; }
  AgentPhase phase() const { return m_phase; }
  std::uint32_t running() const { return m_running; }
  std::optional<TimePoint> heard() const { return m_heard; }
  std::chrono::milliseconds report_age(TimePoint now) const;
  bool listed() const { return m_listed; }
  bool silent() const { return m_silent; }
  void set_silent(bool silent) { m_silent = silent; }

 private:
  SocketAddress m_address;
  std::string m_service;
  std::string m_zone;

  // From the view.
  bool m_listed = false;
  bool m_draining = false;
  bool m_zone_out = false;
  bool m_missing = false;
  Revision m_entry_revision{};
  std::uint32_t m_slots = 1;
  TimePoint m_cold_until{};
  std::uint32_t m_cold_rate_milli = 0;

  // From the agent.
  std::optional<TimePoint> m_heard;
  AgentPhase m_phase = AgentPhase::kServing;
  std::uint32_t m_running = 0;
  std::uint32_t m_long_flows = 0;
  /// When the oldest of its flows opened, by the last report.
  TimePoint m_oldest_flow{};
  bool m_silent = false;
  TimePoint m_backoff_until{};
  /// Flows placed here since the last report.
  std::uint32_t m_placed_short = 0;
  std::uint32_t m_placed_long = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTPEER_H_
