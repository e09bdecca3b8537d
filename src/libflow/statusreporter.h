#ifndef FIREFLYTRESTLE_LIBFLOW_STATUSREPORTER_H_
#define FIREFLYTRESTLE_LIBFLOW_STATUSREPORTER_H_

#include <cstdint>
#include <vector>

#include "libbase/clock.h"
#include "libflow/balancertable.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

class FlowOutput;

/// \brief Sends the reports of an agent to balancers.
///
/// Regular reports go to the balancers that request them. A flow that has
/// opened is reported to all balancers of the zone that its packets come from,
/// because the caller's next packet may arrive at any of them.
class StatusReporter {
 public:
  /// \p seeds get the reports until a balancer is known. \p output must outlive
  /// the reporter.
  StatusReporter(std::vector<SocketAddress> seeds,
                 FlowOutput* output,
                 TimePoint now);

  /// Adds a flow to the next reports. \p balancer forwarded its last packet.
  void AddOpened(const ReportedFlow& flow, const SocketAddress& balancer);

  bool IsDue(TimePoint now) const { return now >= m_next; }
  /// Makes the next reports due now, or once the minimum interval since the
  /// last ones has passed. Returns whether they are due now.
  bool Expedite(TimePoint now);

  /// Sends the reports. \p status has no flows.
  void Send(const AgentStatus& status, BalancerTable* balancers, TimePoint now);

  /// Sends a report without flows at once to all balancers, also to those that
  /// want no regular ones, and to the seeds: they may have got reports before
  /// another balancer was known.
  void SendToAll(const AgentStatus& status, const BalancerTable& balancers);

  /// Sends a report with \p flows to one balancer at once.
  void SendTo(const SocketAddress& balancer,
              AgentStatus status,
              const std::vector<ReportedFlow>& flows,
              const BalancerTable& balancers);

 private:
  /// Returns all known balancers, or the seeds if there are none.
  std::vector<SocketAddress> Receivers(const BalancerTable& balancers) const;

  struct OpenedFlow {
    ReportedFlow flow;
    SocketAddress balancer;
  };

  std::vector<SocketAddress> m_seeds;
  FlowOutput* m_output;
  std::vector<OpenedFlow> m_opened;
  TimePoint m_next;
  TimePoint m_last{};
  /// Number of the last report.
  std::uint64_t m_number = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_STATUSREPORTER_H_
