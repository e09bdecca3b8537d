#ifndef FIREFLYTRESTLE_BALANCER_BALANCERPROCESS_H_
#define FIREFLYTRESTLE_BALANCER_BALANCERPROCESS_H_

#include <boost/leaf/result.hpp>
#include <memory>
#include <vector>

#include "balancer/balancerreport.h"
#include "balancer/balancersettings.h"
#include "balancer/trafficworker.h"
#include "libbase/clock.h"
#include "libnet/adminendpoint.h"
#include "libnet/meshdriver.h"
#include "libnet/processreport.h"
#include "libnet/signalnotifier.h"
#include "libnet/taskqueue.h"
#include "libnet/workerthread.h"

namespace fireflytrestle {

class Logger;

/// \brief Control thread of a balancer: maintains the routing view and its
/// lease and distributes both to the traffic threads.
class BalancerProcess {
 public:
  /// \p settings, \p clock and \p logger must outlive the process.
  BalancerProcess(const BalancerSettings& settings,
                  const Clock& clock,
                  Logger* logger);
  ~BalancerProcess();

  /// Opens all sockets and starts the threads. Fails with ErrorCode::kNetwork
  /// and a Fault. After a graceful stop the process quits the event loop.
  boost::leaf::result<void> Start();

 private:
  struct TrafficThread {
    std::unique_ptr<TrafficWorker> worker;
    WorkerThread thread;
  };

  boost::leaf::result<void> StartTraffic();
  boost::leaf::result<TrafficWorker::Sockets> OpenSockets(
      std::size_t thread,
      const UdpSocket* frontend) const;
  void StartThread(std::size_t thread, TrafficWorker::Sockets sockets);
  void InstallView();
  void ExtendLease(TimePoint until);
  void BeginStop();
  void OnThreadDrained();
  std::string Metrics();
  std::string State();

  const BalancerSettings& m_settings;
  const Clock& m_clock;
  Logger* m_logger;
  TaskQueue m_tasks;
  MeshDriver m_mesh;
  ProcessReport m_process_report;
  BalancerReport m_report;
  std::vector<std::unique_ptr<TrafficThread>> m_traffic;
  std::size_t m_undrained_threads = 0;
  bool m_stopping = false;
  std::unique_ptr<AdminEndpoint> m_admin;
  SignalNotifier m_signals;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BALANCER_BALANCERPROCESS_H_
