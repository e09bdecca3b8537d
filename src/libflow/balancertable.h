#ifndef FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// \brief The balancers known to an agent: those that sent it a heartbeat, and
/// those that other balancers announced.
class BalancerTable {
 public:
  /// Records a heartbeat. Returns whether the balancer is new or has restarted.
  bool OnHeartbeat(const SocketAddress& address,
                   const BalancerHeartbeat& heartbeat,
                   TimePoint now);

  /// Adds a balancer that forwarded a packet. Returns whether it is new.
  bool OnIntroduced(const SocketAddress& address, TimePoint now);

  /// Handles the announcement of a balancer that has started or restarted.
  /// Returns whether it needs a report: it is new, or was not announced within
  /// the last second. A known one has restarted and may not know this agent any
  /// more.
  bool OnAnnounced(const SocketAddress& address, TimePoint now);

  void OnReportRequest(const SocketAddress& address,
                       const ReportRequest& request,
                       TimePoint now);

  /// Returns the requested interval of reports to a balancer: 0 if it wants no
  /// regular ones, empty if it has sent no request.
  std::optional<std::chrono::milliseconds> ReportInterval(
      const SocketAddress& address) const;

  /// Whether the balancer reads the upstream's load in reports.
  bool WantsLoad(const SocketAddress& address) const;

  /// Whether the balancer gets regular reports.
  bool WantsReports(const SocketAddress& address, TimePoint now) const;

  /// Returns whether a regular report to the balancer is due, and schedules the
  /// next one if it is.
  bool TakeDueReport(const SocketAddress& address, TimePoint now);

  /// Whether \p address may get packets of a flow whose last packet \p sender
  /// forwarded: both are in the same zone, or one of the zones is unknown.
  bool CanReceiveFlowsOf(const SocketAddress& address,
                         const SocketAddress& sender) const;

  /// Whether any balancer's heartbeat of the last 2 s says that the agent's
  /// zone is out.
  bool IsZoneOut(TimePoint now) const;

  /// Returns up to kMaxNewBalancers balancers that appeared recently, to be
  /// announced to other balancers; all of them in turn.
  std::vector<SocketAddress> NextNewBalancers(TimePoint now);

  /// Returns the balancers that keep the flows of the agent while it restarts:
  /// up to kMaxHandoverReceivers, those of \p zone first, and of these the ones
  /// that sent a message last.
  std::vector<SocketAddress> HandoverReceivers(const std::string& zone) const;

  /// Removes the balancers that have sent no heartbeat for 5 minutes, and
  /// returns them.
  std::vector<SocketAddress> ExpireSilent(TimePoint now);

  std::vector<SocketAddress> Addresses() const;

 private:
  static constexpr std::size_t kMaxHandoverReceivers = 6;

  struct Balancer {
    BalancerHeartbeat heartbeat;
    /// Empty until the balancer has sent a request.
    std::string zone;
    std::optional<std::chrono::milliseconds> report_interval;
    bool wants_load = false;
    /// When the present incarnation was first seen.
    TimePoint first_seen;
    TimePoint last_heartbeat;
    TimePoint last_announced{};
    TimePoint next_report{};
  };

  const Balancer* Find(const SocketAddress& address) const;

  std::map<SocketAddress, Balancer> m_balancers;
  /// Last balancer that NextNewBalancers() returned.
  SocketAddress m_last_announced;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
