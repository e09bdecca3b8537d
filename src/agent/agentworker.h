#ifndef FIREFLYTRESTLE_AGENT_AGENTWORKER_H_
#define FIREFLYTRESTLE_AGENT_AGENTWORKER_H_

#include <QSocketNotifier>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "agent/agentsettings.h"
#include "agent/agentsnapshot.h"
#include "agent/upstreamconnections.h"
#include "libagent/agentengine.h"
#include "libbase/clock.h"
#include "libnet/actionqueue.h"
#include "libnet/udpsocket.h"

namespace fireflytrestle {

struct Configuration;

/// \brief Runs an AgentEngine with its sockets. Must be constructed, used and
/// destroyed on the traffic thread.
class AgentWorker {
 public:
  /// \p publish is called with a snapshot every kPublishInterval.
  AgentWorker(const AgentSettings& settings,
              std::unique_ptr<UdpSocket> socket,
              const Clock& clock,
              std::function<void(const AgentSnapshot&)> publish);

  void SetConfiguration(const Configuration& configuration);
  void SetLeaving(bool leaving);
  void SetLease(TimePoint until);

  /// Starts the graceful stop and calls \p stopped at its end.
  void BeginStop(std::function<void()> stopped);

  static constexpr std::chrono::milliseconds kPublishInterval{500};

 private:
  using Actions = std::vector<AgentAction>;

  /// Calls the engine, executes the resulting actions and sends the queued
  /// datagrams.
  template <typename Call>
  void RunEngine(Call call);
  void Execute(const SendDatagram& action);
  void Execute(const OpenConnection& action);
  void Execute(const SendUpstream& action);
  void Execute(const CloseConnection& action);

  void Receive();
  void OnDatagram(const SocketAddress& balancer,
                  std::span<const std::uint8_t> datagram);
  void OnTick();
  /// Sends the queued datagrams, or drops them if the lease has expired since
  /// the decision to send them. This can happen if the process was paused.
  void Flush();
  void Publish();

  std::unique_ptr<UdpSocket> m_socket;
  const Clock& m_clock;
  std::function<void(const AgentSnapshot&)> m_publish;
  std::chrono::milliseconds m_stop_timeout;
  AgentEngine m_engine;
  UpstreamConnections m_connections;
  ActionQueue<AgentAction> m_actions;
  AgentSnapshot m_snapshot;
  TimePoint m_lease_until{};
  std::optional<TimePoint> m_stop_deadline;
  std::function<void()> m_stopped;
  UdpSocket::Handler m_datagram_handler;
  QSocketNotifier m_notifier;
  QTimer m_tick_timer;
  QTimer m_publish_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_AGENTWORKER_H_
