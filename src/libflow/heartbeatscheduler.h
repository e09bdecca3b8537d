#ifndef FIREFLYTRESTLE_LIBFLOW_HEARTBEATSCHEDULER_H_
#define FIREFLYTRESTLE_LIBFLOW_HEARTBEATSCHEDULER_H_

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libflow/agenttable.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

class FlowOutput;

/// \brief Sends heartbeats and report requests from a balancer to agents.
///
/// Agents from which reports are wanted get frequent heartbeats. The others
/// only have to know that the balancer exists, so that they can report flows of
/// its zone to it; they get heartbeats at a limited total rate.
class HeartbeatScheduler {
 public:
  /// Interval of heartbeats to an agent that reports. A changed entry is sent
  /// at once; this interval serves agents that restarted.
  static constexpr std::chrono::milliseconds kInterval{250};
  /// The same for an agent whose reports are wanted but do not arrive, or whose
  /// handover is kept here, so that it is found soon after it has restarted.
  static constexpr std::chrono::milliseconds kProbeInterval{50};
  /// The same for any other agent that is about to stop, so that it gets new
  /// flows soon after it has restarted.
  static constexpr std::chrono::milliseconds kStoppingInterval{1000};
  /// The same for an agent that has never reported: the first heartbeat or its
  /// answer may have been lost. Longer if there are more than
  /// kMaxUnheardPerSecond of them.
  static constexpr std::chrono::milliseconds kUnheardInterval{500};
  static constexpr std::size_t kMaxUnheardPerSecond = 200;
  /// The same for other agents from which no reports are wanted, unless
  /// kMaxIdlePerSecond requires a longer one.
  static constexpr std::chrono::milliseconds kIdleInterval{5000};
  static constexpr std::size_t kMaxIdlePerSecond = 20;

  /// \p output must outlive the scheduler.
  HeartbeatScheduler(Incarnation self, std::string zone, FlowOutput* output);

  /// Records a balancer that an agent announced as new.
  void OnBalancerIntroduced(const SocketAddress& balancer, TimePoint now);

  /// Sends heartbeats that a changed view requires: to new agents, and to those
  /// whose entry changed.
  void OnViewChanged(const AgentTable& agents, TimePoint now);

  /// Sends all heartbeats that are due.
  void OnTick(const AgentTable& agents, TimePoint now);

  /// Sends a request and a heartbeat at once to an agent that has restarted or
  /// was silent.
  void OnAgentBack(const AgentPeer& agent, TimePoint now);

 private:
  struct Sent {
    TimePoint at{};
    TimePoint request_at{};
    std::chrono::milliseconds requested_interval{0};
    std::string requested_service;
    BalancerHeartbeat heartbeat;
    /// Last balancer that was announced to the agent.
    SocketAddress last_announced;
  };

  void Send(const AgentPeer& agent, TimePoint now);
  Duration IntervalFor(const AgentPeer& agent, std::size_t agent_count) const;
  /// Returns the interval of heartbeats that announce no balancer.
  static Duration RegularInterval(const AgentPeer& agent,
                                  std::size_t agent_count);
  /// Returns the balancers that the next heartbeat to an agent announces, at
  /// most kMaxNewBalancers; all of them in turn.
  std::vector<SocketAddress> NextAnnounced(Sent* sent) const;

  Incarnation m_self;
  std::string m_zone;
  FlowOutput* m_output;
  std::unordered_map<SocketAddress, Sent, SocketAddressHash> m_sent;
  /// Balancers that agents announced, and when they last did.
  std::map<SocketAddress, TimePoint> m_new_balancers;
  TimePoint m_next_cleanup{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_HEARTBEATSCHEDULER_H_
