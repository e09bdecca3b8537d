#ifndef FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTPROCESS_H_
#define FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTPROCESS_H_

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "flowagent/flowagentsettings.h"
#include "flowagent/flowagentworker.h"
#include "libnet/adminendpoint.h"
#include "libnet/flowtelemetry.h"
#include "libnet/listenerprobe.h"
#include "libnet/signalnotifier.h"
#include "libnet/taskqueue.h"
#include "libnet/workerthread.h"

namespace fireflytrestle {

class Logger;
class PacketCodec;

/// \brief The agent beside one upstream, for flows whose packets carry no flow
/// identifier.
class FlowAgentProcess {
 public:
  /// \p started is the time of day at which the process started. All
  /// references must outlive this object.
  FlowAgentProcess(const FlowAgentSettings& settings,
                   WallTime started,
                   const PacketCodec& codec,
                   const Clock& clock,
                   Logger* logger);
  ~FlowAgentProcess();

  boost::leaf::result<void> Start();

 private:
  /// Checks whether the upstream still runs, and then stops.
  void BeginStop();
  void Stop(bool upstream_gone);
  void OnReload();
  std::string Metrics() const;
  std::string State() const;

  const FlowAgentSettings& m_settings;
  WallTime m_started;
  const PacketCodec& m_codec;
  const Clock& m_clock;
  Logger* m_logger;
  FlowTelemetry m_telemetry;
  FlowAgentWorker::Gauges m_gauges;
  TaskQueue m_tasks;
  WorkerThread m_thread;
  std::unique_ptr<FlowAgentWorker> m_worker;
  std::unique_ptr<AdminEndpoint> m_admin;
  bool m_stopping = false;
  ListenerProbe m_start_check;
  ListenerProbe m_upstream_check;
  SignalNotifier m_signals;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWAGENT_FLOWAGENTPROCESS_H_
