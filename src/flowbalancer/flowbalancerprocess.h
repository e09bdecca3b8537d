#ifndef FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERPROCESS_H_
#define FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERPROCESS_H_

#include <QTimer>
#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "flowbalancer/flowbalancersettings.h"
#include "flowbalancer/flowbalancerworker.h"
#include "libnet/adminendpoint.h"
#include "libnet/flowtelemetry.h"
#include "libnet/signalnotifier.h"
#include "libnet/storereader.h"
#include "libnet/taskqueue.h"
#include "libnet/workerthread.h"

namespace fireflytrestle {

class PacketCodec;
class RecordDecoder;
class StoreClient;

/// \brief The balancer for flows whose packets carry no flow identifier.
/// Control runs on the main thread, packets are handled on another one.
class FlowBalancerProcess {
 public:
  /// Adapters to the interfaces of the platform.
  struct Platform {
    StoreClient* store = nullptr;
    const RecordDecoder* decoder = nullptr;
    const PacketCodec* codec = nullptr;
    /// Key prefixes of the store to follow.
    std::vector<std::string> prefixes;
  };

  /// All references must outlive the process.
  FlowBalancerProcess(const FlowBalancerSettings& settings,
                      const Platform& platform,
                      const Clock& clock,
                      Logger* logger);
  ~FlowBalancerProcess();

  boost::leaf::result<void> Start();

 private:
  void BeginStop();
  void OnReload();
  void CheckStopped();
  bool IsReady(std::string* reason) const;
  std::string Metrics() const;
  std::string State() const;

  const FlowBalancerSettings& m_settings;
  Platform m_platform;
  const Clock& m_clock;
  Logger* m_logger;
  FlowTelemetry m_telemetry;
  FlowBalancerWorker::Gauges m_gauges;
  TaskQueue m_tasks;
  WorkerThread m_thread;
  std::unique_ptr<FlowBalancerWorker> m_worker;
  Incarnation m_incarnation;
  StoreReader m_reader;
  std::unique_ptr<AdminEndpoint> m_admin;
  bool m_stopping = false;
  TimePoint m_stop_began{};
  QTimer m_stop_timer;
  SignalNotifier m_signals;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_FLOWBALANCER_FLOWBALANCERPROCESS_H_
