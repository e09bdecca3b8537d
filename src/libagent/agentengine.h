#ifndef FIREFLYTRESTLE_LIBAGENT_AGENTENGINE_H_
#define FIREFLYTRESTLE_LIBAGENT_AGENTENGINE_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "libagent/agentaction.h"
#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libwire/flowidcodec.h"

namespace fireflytrestle {

class RandomSource;
struct AgentStatistics;
struct Configuration;

/// \brief Manages all flows of one upstream: admission, request ledger,
/// responses, deadlines, connections and drain.
///
/// Performs no I/O: each call appends the actions to execute to \p actions. The
/// caller must call OnTick() at least every 50 ms.
class AgentEngine {
 public:
  /// The engine accepts no flow or request before SetConfiguration() has passed
  /// a configuration that contains \p target and SetLease() has set a time in
  /// the future.
  AgentEngine(TargetId target,
              FlowIdCodec codec,
              std::unique_ptr<RandomSource> random,
              TimePoint now);
  ~AgentEngine();

  AgentEngine(const AgentEngine&) = delete;
  AgentEngine& operator=(const AgentEngine&) = delete;

  void SetConfiguration(const Configuration& configuration,
                        TimePoint now,
                        std::vector<AgentAction>* actions);

  /// Sets the time until which decisions may be based on the current view; see
  /// ViewLease.
  void SetLease(TimePoint until);

  /// Processes one datagram from a balancer: an envelope of kind FORWARD.
  void OnDatagram(SocketAddress balancer,
                  std::span<const std::uint8_t> datagram,
                  TimePoint now,
                  std::vector<AgentAction>* actions);

  void OnConnectionOpened(ConnectionId connection,
                          TimePoint now,
                          std::vector<AgentAction>* actions);

  /// Called when a connection was closed or could not be opened.
  void OnConnectionClosed(ConnectionId connection,
                          TimePoint now,
                          std::vector<AgentAction>* actions);

  void OnUpstreamMessage(ConnectionId connection,
                         const UpstreamMessage& message,
                         TimePoint now,
                         std::vector<AgentAction>* actions);

  void OnTick(TimePoint now, std::vector<AgentAction>* actions);

  /// Sets whether the instance list marks the target as leaving.
  void SetLeaving(bool leaving,
                  TimePoint now,
                  std::vector<AgentAction>* actions);

  /// Starts the graceful stop of the agent itself.
  void BeginStop(TimePoint now, std::vector<AgentAction>* actions);

  /// Whether BeginStop() was called and either no flow is open any more or the
  /// stop timeout has passed.
  bool IsStopped(TimePoint now) const;

  const AgentStatistics& statistics() const;

 private:
  class Private;
  std::unique_ptr<Private> m_private;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_AGENTENGINE_H_
