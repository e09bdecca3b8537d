#include "flowagent/flowagentprocess.h"

#include <QCoreApplication>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/clock.h"
#include "libbase/logger.h"
#include "libnet/metricswriter.h"
#include "libnet/systemrandom.h"

namespace fireflytrestle {

namespace {

/// Time-out of the check whether the upstream runs; a refusal from the same
/// instance takes less than a millisecond.
constexpr std::chrono::milliseconds kUpstreamCheckTimeout{100};

}  // namespace

FlowAgentProcess::FlowAgentProcess(const FlowAgentSettings& settings,
                                   WallTime started,
                                   const PacketCodec& codec,
                                   const Clock& clock,
                                   Logger* logger)
    : m_settings(settings),
      m_started(started),
      m_codec(codec),
      m_clock(clock),
      m_logger(logger),
      m_telemetry(logger),
      m_signals([this] { BeginStop(); }, [this] { OnReload(); }) {}

FlowAgentProcess::~FlowAgentProcess() {
  m_admin.reset();
  m_thread.Run([this] { m_worker.reset(); });
}

boost::leaf::result<void> FlowAgentProcess::Start() {
  BOOST_LEAF_AUTO(node, UdpSocket::Bind(m_settings.node.node_address,
                                        SendBufferBytes(m_settings.node)));
  BOOST_LEAF_AUTO(outbound, UdpSocket::Bind(m_settings.outbound_address));
  FlowTracker::Settings tracker;
  tracker.incarnation = Incarnation{DrawSeed()};
  tracker.service = m_settings.service;
  tracker.zone = m_settings.node.zone;
  tracker.flow_lifetime = m_settings.node.flow_lifetime;
  tracker.is_first_run = m_settings.first_start == "true";
  tracker.started = m_started;
  for (const SocketAddress& seed : m_settings.seeds) {
    tracker.seeds.push_back({seed.ipv4, m_settings.balancer_port});
  }
  m_thread.Run([&] {
    m_worker = std::make_unique<FlowAgentWorker>(
        std::move(tracker), m_settings.upstream_address, std::move(node),
        std::move(outbound), m_codec, m_clock, &m_telemetry, &m_gauges);
  });
  // After a loss of power, an upstream that has not started yet holds no flow,
  // and neither does one that left before.
  m_start_check.Start(
      m_settings.upstream_address, kUpstreamCheckTimeout, [this](bool absent) {
        if (absent) {
          m_thread.Post([this] { m_worker->OnUpstreamAbsent(); });
        }
      });
  BOOST_LEAF_ASSIGN(
      m_admin, AdminEndpoint::Open(
                   m_settings.node.admin_address,
                   {[this] { return Metrics(); }, [this] { return State(); },
                    [this](std::string* reason) {
                      *reason = m_stopping ? "stopping" : "";
                      return !m_stopping;
                    }}));
  m_logger->Write(LogLevel::kInfo, "started",
                  m_settings.first_start == "true"
                      ? "agent started together with its site"
                      : "agent started");
  return {};
}

void FlowAgentProcess::OnReload() {
  // All settings are flags, which cannot change while the process runs.
  m_logger->Write(LogLevel::kInfo, "reload",
                  "settings are read only at start and have not changed");
}

void FlowAgentProcess::BeginStop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  // On an instance that is removed, the upstream ends before the agent. The
  // flows of such an upstream cannot be found any more, so that they are reset
  // to inform their callers.
  m_upstream_check.Start(m_settings.upstream_address, kUpstreamCheckTimeout,
                         [this](bool gone) { Stop(gone); });
}

void FlowAgentProcess::Stop(bool upstream_gone) {
  m_logger->Write(
      LogLevel::kInfo, "stopping",
      upstream_gone
          ? "the upstream has ended; resetting its flows"
          : "the upstream still runs; notifying balancers to keep its flows");
  m_thread.Post([this, upstream_gone] {
    if (upstream_gone) {
      m_worker->OnUpstreamDown();
    }
    m_worker->BeginStop();
  });
  CallAfter(&m_tasks, FlowTracker::kNoticeTime, [this] {
    m_logger->Write(LogLevel::kInfo, "stopped",
                    "stop notices sent to the balancers");
    QCoreApplication::quit();
  });
}

std::string FlowAgentProcess::Metrics() const {
  MetricsWriter metrics;
  metrics.Gauge("flows", "Flows of the upstream that this process knows",
                static_cast<double>(m_gauges.flows));
  metrics.Gauge("upstream_running",
                "Requests that the upstream has not begun to answer",
                static_cast<double>(m_gauges.running));
  for (std::size_t i = 0; i < m_gauges.waiting.size(); ++i) {
    metrics.Gauge("requests_waiting",
                  "Requests that wait for a slot of the upstream",
                  static_cast<double>(m_gauges.waiting.at(i)),
                  {{"priority", std::to_string(i)}});
  }
  constexpr double kMicro = 1e6;
  metrics.Gauge("upstream_wait_seconds",
                "Expected time until a slot is free for a new request",
                static_cast<double>(m_gauges.wait_us) / kMicro);
  metrics.Gauge("upstream_work_seconds",
                "Expected work of a request of the recent mix; 0 if unknown",
                static_cast<double>(m_gauges.work_us) / kMicro);
  metrics.Gauge("agent_phase", "State of agent and upstream; always 1", 1,
                {{"phase", ToString(m_gauges.phase)}});
  metrics.Counter("node_messages_total", "Messages of balancers received",
                  static_cast<double>(m_gauges.node_messages));
  metrics.Counter("upstream_packets_total", "Packets of the upstream received",
                  static_cast<double>(m_gauges.upstream_packets));
  metrics.Counter("send_failures_total", "Datagrams that could not be sent",
                  static_cast<double>(m_gauges.send_failures));
  m_telemetry.WriteMetrics(&metrics);
  return metrics.Write();
}

std::string FlowAgentProcess::State() const {
  nlohmann::ordered_json state;
  state["instance"] = m_settings.node.instance;
  state["zone"] = m_settings.node.zone;
  state["service"] = m_settings.service;
  state["phase"] = ToString(m_gauges.phase);
  state["flows"] = m_gauges.flows.load();
  state["running"] = m_gauges.running.load();
  return state.dump(2) + "\n";
}

}  // namespace fireflytrestle
