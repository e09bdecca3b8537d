#include "flowbalancer/flowbalancerprocess.h"

#include <QCoreApplication>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/clock.h"
#include "libbase/logger.h"
#include "libnet/metricswriter.h"
#include "libnet/systemrandom.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// Minimum drain time: the routers remove an instance after two failed checks,
/// which run every 500 ms.
constexpr milliseconds kMinDrainTime{1200};
/// If no packet arrives for this long, the routers have stopped sending them.
constexpr milliseconds kQuietPeriod{300};
/// Maximum drain time: the platform kills the process 6 s after the signal.
constexpr milliseconds kMaxDrainTime{5000};
constexpr milliseconds kDrainCheckInterval{50};
/// Searches may use one half of the link; packets of known flows need the rest.
constexpr std::uint64_t kSearchLinkDivisor = 2;

}  // namespace

FlowBalancerProcess::FlowBalancerProcess(const FlowBalancerSettings& settings,
                                         const Platform& platform,
                                         const Clock& clock,
                                         Logger* logger)
    : m_settings(settings),
      m_platform(platform),
      m_clock(clock),
      m_logger(logger),
      m_telemetry(logger),
      m_incarnation{DrawSeed()},
      m_reader(platform.prefixes,
               {m_incarnation,
                [this](const std::vector<SocketAddress>& peers,
                       const SharedChanges& changes) {
                  m_thread.Post([this, peers, changes] {
                    m_worker->SendToPeers(peers, changes);
                  });
                }},
               platform.store,
               *platform.decoder,
               clock,
               logger,
               {[this](std::shared_ptr<const SiteView> view) {
                  m_thread.Post([this, view = std::move(view)] {
                    m_worker->InstallView(view);
                  });
                },
                [this](TimePoint at) {
                  m_thread.Post([this, at] { m_worker->ConfirmView(at); });
                }}),
      m_signals([this] { BeginStop(); }, [this] { OnReload(); }) {}

FlowBalancerProcess::~FlowBalancerProcess() {
  m_admin.reset();
  m_thread.Run([this] { m_worker.reset(); });
}

boost::leaf::result<void> FlowBalancerProcess::Start() {
  const int send_buffer = SendBufferBytes(m_settings.node);
  BOOST_LEAF_AUTO(frontend,
                  UdpSocket::Bind(m_settings.frontend_address, send_buffer));
  BOOST_LEAF_AUTO(node,
                  UdpSocket::Bind(m_settings.node.node_address, send_buffer));
  FlowRouter::Settings router;
  router.incarnation = m_incarnation;
  router.zone = m_settings.node.zone;
  router.agent_port = m_settings.frontend_address.port;
  router.flow_lifetime = m_settings.node.flow_lifetime;
  router.search_bytes_per_second =
      m_settings.node.link_bytes_per_second / kSearchLinkDivisor;
  m_thread.Run([&] {
    m_worker = std::make_unique<FlowBalancerWorker>(
        std::move(router), std::move(frontend), std::move(node),
        *m_platform.codec, m_clock, &m_telemetry, &m_gauges,
        FlowBalancerWorker::PeerHandlers{
            [this](const SocketAddress& peer) {
              m_tasks.Post([this, peer] { m_reader.OnIntroduced(peer); });
            },
            [this](const SocketAddress& peer, const SharedChanges& changes) {
              m_tasks.Post([this, peer, changes] {
                m_reader.OnSharedChanges(peer, changes);
              });
            }});
  });
  m_reader.Start();
  BOOST_LEAF_ASSIGN(m_admin, AdminEndpoint::Open(m_settings.node.admin_address,
                                                 {[this] { return Metrics(); },
                                                  [this] { return State(); },
                                                  [this](std::string* reason) {
                                                    *reason = "";
                                                    return IsReady(reason);
                                                  }}));
  m_logger->Write(LogLevel::kInfo, "started", "balancer started");
  return {};
}

bool FlowBalancerProcess::IsReady(std::string* reason) const {
  if (m_stopping) {
    *reason = "stopping";
  } else if (!m_reader.has_configuration()) {
    *reason = "no configuration";
  } else if (!m_gauges.serving) {
    *reason = "fewer than half of the agents report";
  }
  return reason->empty();
}

void FlowBalancerProcess::OnReload() {
  // All settings are flags, which cannot change while the process runs.
  m_logger->Write(LogLevel::kInfo, "reload",
                  "settings are read only at start and have not changed");
}

void FlowBalancerProcess::BeginStop() {
  m_logger->Write(LogLevel::kInfo, "stopping",
                  "forwarding packets until no more arrive");
  m_stopping = true;
  m_stop_began = m_clock.Now();
  QObject::connect(&m_stop_timer, &QTimer::timeout, &m_stop_timer,
                   [this] { CheckStopped(); });
  m_stop_timer.start(kDrainCheckInterval);
}

void FlowBalancerProcess::CheckStopped() {
  const TimePoint now = m_clock.Now();
  const TimePoint last{milliseconds(m_gauges.last_caller_packet_ms)};
  const bool quiet =
      now - last >= kQuietPeriod && now - m_stop_began >= kMinDrainTime;
  if (quiet || now - m_stop_began >= kMaxDrainTime) {
    m_logger->Write(LogLevel::kInfo, "stopped",
                    quiet
                        ? "no more packets arrive"
                        : "packets still arrive at the end of the drain time");
    QCoreApplication::quit();
  }
}

std::string FlowBalancerProcess::Metrics() const {
  MetricsWriter metrics;
  metrics.Gauge("flows", "Flows that this process knows",
                static_cast<double>(m_gauges.flows));
  metrics.Gauge("agents", "Agents that this process knows",
                static_cast<double>(m_gauges.agents));
  metrics.Counter("caller_packets_total", "Packets of callers received",
                  static_cast<double>(m_gauges.caller_packets));
  metrics.Counter("node_messages_total", "Messages of agents received",
                  static_cast<double>(m_gauges.node_messages));
  metrics.Counter("send_failures_total", "Datagrams that could not be sent",
                  static_cast<double>(m_gauges.send_failures));
  m_reader.WriteMetrics(&metrics);
  m_telemetry.WriteMetrics(&metrics);
  return metrics.Write();
}

std::string FlowBalancerProcess::State() const {
  std::string reason;
  nlohmann::ordered_json state;
  state["instance"] = m_settings.node.instance;
  state["zone"] = m_settings.node.zone;
  state["ready"] = IsReady(&reason);
  state["reason"] = reason;
  state["flows"] = m_gauges.flows.load();
  state["agents"] = m_gauges.agents.load();
  return state.dump(2) + "\n";
}

}  // namespace fireflytrestle
