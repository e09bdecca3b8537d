#ifndef FIREFLYTRESTLE_AGENT_AGENTPROCESS_H_
#define FIREFLYTRESTLE_AGENT_AGENTPROCESS_H_

#include <boost/leaf/result.hpp>
#include <memory>

#include "agent/agentreport.h"
#include "agent/agentsettings.h"
#include "agent/agentworker.h"
#include "libbase/clock.h"
#include "libnet/adminendpoint.h"
#include "libnet/meshdriver.h"
#include "libnet/processreport.h"
#include "libnet/signalnotifier.h"
#include "libnet/taskqueue.h"
#include "libnet/workerthread.h"

namespace fireflytrestle {

class Logger;

/// \brief The control thread of an agent: maintains the view (configuration,
/// instance list and lease) and passes it to the traffic thread.
class AgentProcess {
 public:
  /// \p settings, \p clock and \p logger must outlive the process.
  AgentProcess(const AgentSettings& settings,
               const Clock& clock,
               Logger* logger);
  ~AgentProcess();

  /// Opens all sockets and starts the threads. Fails with ErrorCode::kNetwork
  /// and a Fault. The event loop is quit at the end of the graceful stop.
  boost::leaf::result<void> Start();

 private:
  void Install(DocumentKind kind);
  void ExtendLease(TimePoint until);
  void BeginStop();
  std::string ReasonNotReady() const;
  std::string Metrics();
  std::string State();

  const AgentSettings& m_settings;
  const Clock& m_clock;
  Logger* m_logger;
  TaskQueue m_tasks;
  MeshDriver m_mesh;
  ProcessReport m_process_report;
  AgentReport m_report;
  bool m_leaving = false;
  bool m_stopping = false;
  std::unique_ptr<AgentWorker> m_worker;
  WorkerThread m_thread;
  std::unique_ptr<AdminEndpoint> m_admin;
  SignalNotifier m_signals;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_AGENT_AGENTPROCESS_H_
