#include "balancer/balancerprocess.h"

#include <QCoreApplication>
#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "balancer/agentdirectory.h"
#include "libbase/errorcode.h"
#include "libbase/fault.h"
#include "libbase/logger.h"
#include "libnet/metricswriter.h"
#include "librouting/routingview.h"

namespace fireflytrestle {

namespace {

constexpr char kProgram[] = "fireflytrestle-balancer";
// Upper bound of the graceful stop if packets continue to arrive.
constexpr std::chrono::seconds kMaxDrainTime{10};

MeshSettings MakeMeshSettings(const BalancerSettings& settings) {
  return {settings.process.instance_id, settings.process.region,
          settings.process.zone,        false,
          settings.mesh_address,        settings.process.seed_balancers};
}

}  // namespace

BalancerProcess::BalancerProcess(const BalancerSettings& settings,
                                 const Clock& clock,
                                 Logger* logger)
    : m_settings(settings),
      m_clock(clock),
      m_logger(logger),
      m_mesh(MakeMeshSettings(settings),
             settings.process.platform_address,
             clock,
             logger,
             {[this](DocumentKind) { InstallView(); },
              [this](TimePoint until) { ExtendLease(until); }}),
      m_process_report(kProgram,
                       FIREFLYTRESTLE_VERSION,
                       settings.process,
                       m_mesh,
                       clock.Now()),
      m_report(settings.traffic_threads),
      m_signals([this] { BeginStop(); }) {}

BalancerProcess::~BalancerProcess() {
  m_admin.reset();
  for (const auto& traffic : m_traffic) {
    traffic->thread.Run([&] { traffic->worker.reset(); });
  }
}

boost::leaf::result<void> BalancerProcess::Start() {
  BOOST_LEAF_CHECK(StartTraffic());
  BOOST_LEAF_ASSIGN(
      m_admin, AdminEndpoint::Open(
                   m_settings.process.admin_address,
                   {[this] { return Metrics(); }, [this] { return State(); },
                    [this](std::string* reason) {
                      *reason = m_process_report.ReasonNotReady(m_stopping,
                                                                m_clock.Now());
                      return reason->empty();
                    }}));
  BOOST_LEAF_CHECK(m_mesh.Start());
  m_logger->Write(LogLevel::kInfo, "started", "balancer started");
  return {};
}

boost::leaf::result<void> BalancerProcess::StartTraffic() {
  std::vector<TrafficWorker::Sockets> sockets;
  for (std::size_t thread = 0; thread < m_settings.traffic_threads; ++thread) {
    const UdpSocket* frontend =
        sockets.empty() ? nullptr : sockets.front().frontend.get();
    BOOST_LEAF_AUTO(opened, OpenSockets(thread, frontend));
    sockets.push_back(std::move(opened));
  }
  for (std::size_t thread = 0; thread < sockets.size(); ++thread) {
    StartThread(thread, std::move(sockets[thread]));
  }
  return {};
}

boost::leaf::result<TrafficWorker::Sockets> BalancerProcess::OpenSockets(
    std::size_t thread,
    const UdpSocket* frontend) const {
  TrafficWorker::Sockets sockets;
  sockets.fabric = m_settings.fabric_address;
  // All threads share one frontend socket. The fabric may send from a single
  // address, and SO_REUSEPORT would then deliver all packets to one thread.
  BOOST_LEAF_ASSIGN(sockets.frontend,
                    frontend == nullptr
                        ? UdpSocket::Bind(m_settings.frontend_address)
                        : frontend->Duplicate());
  // Each thread has its own backend port, because the answer to an OPEN must
  // reach the router that forwarded the OPEN.
  SocketAddress backend = m_settings.backend_address;
  if (backend.port + thread > std::numeric_limits<std::uint16_t>::max()) {
    return boost::leaf::new_error(
        ErrorCode::kNetwork,
        Fault{ToString(backend),
              "the ports for all traffic threads would exceed 65535",
              "choose a lower backend port or fewer traffic threads"});
  }
  backend.port = static_cast<std::uint16_t>(backend.port + thread);
  BOOST_LEAF_ASSIGN(sockets.backend, UdpSocket::Bind(backend));
  return sockets;
}

void BalancerProcess::StartThread(std::size_t thread,
                                  TrafficWorker::Sockets sockets) {
  auto& traffic = *m_traffic.emplace_back(std::make_unique<TrafficThread>());
  auto publish = [this, thread](TrafficSnapshot snapshot) {
    auto shared = std::make_shared<TrafficSnapshot>(std::move(snapshot));
    m_tasks.Post([this, thread, shared] {
      m_report.Record(thread, std::move(*shared), m_clock.Now());
    });
  };
  traffic.thread.Run([&] {
    traffic.worker = std::make_unique<TrafficWorker>(
        std::move(sockets), FlowIdCodec(m_settings.process.flow_keys), m_clock,
        std::move(publish));
  });
}

void BalancerProcess::InstallView() {
  const MeshNode& node = m_mesh.node();
  m_process_report.RecordConfiguration(m_clock.Now());
  const std::shared_ptr<const RoutingView> view =
      MakeRoutingView(node.configuration(), node.instances());
  const auto agents =
      std::make_shared<const AgentDirectory>(node.configuration());
  for (const auto& traffic : m_traffic) {
    traffic->thread.Post([worker = traffic->worker.get(), view, agents] {
      worker->InstallView(view, agents);
    });
  }
}

void BalancerProcess::ExtendLease(TimePoint until) {
  for (const auto& traffic : m_traffic) {
    traffic->thread.Post(
        [worker = traffic->worker.get(), until] { worker->SetLease(until); });
  }
}

void BalancerProcess::BeginStop() {
  m_logger->Write(LogLevel::kInfo, "stopping",
                  "stop requested; forwarding until no more packets arrive");
  m_stopping = true;
  m_undrained_threads = m_traffic.size();
  for (const auto& traffic : m_traffic) {
    traffic->thread.Post([this, worker = traffic->worker.get()] {
      worker->BeginDrain(
          [this] { m_tasks.Post([this] { OnThreadDrained(); }); });
    });
  }
  CallAfter(&m_tasks, kMaxDrainTime, [] { QCoreApplication::quit(); });
}

void BalancerProcess::OnThreadDrained() {
  if (--m_undrained_threads == 0) {
    m_logger->Write(LogLevel::kInfo, "stopped",
                    "no more packets arrive; exiting");
    QCoreApplication::quit();
  }
}

std::string BalancerProcess::Metrics() {
  MetricsWriter metrics;
  m_process_report.WriteMetrics(m_stopping, m_clock.Now(), &metrics);
  m_report.WriteMetrics(m_process_report, &metrics);
  return metrics.Write();
}

std::string BalancerProcess::State() {
  const TimePoint now = m_clock.Now();
  nlohmann::ordered_json state = m_process_report.State(m_stopping, now);
  m_report.AddState(m_mesh.node().configuration(), m_process_report, now,
                    &state);
  return state.dump(2) + "\n";
}

}  // namespace fireflytrestle
