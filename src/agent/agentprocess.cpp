#include "agent/agentprocess.h"

#include <QCoreApplication>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/logger.h"
#include "libconfig/configuration.h"
#include "libconfig/instancerecord.h"
#include "libnet/metricswriter.h"

namespace fireflytrestle {

namespace {

constexpr char kProgram[] = "fireflytrestle-agent";

MeshSettings MakeMeshSettings(const AgentSettings& settings) {
  return {settings.process.instance_id,
          settings.process.region,
          settings.process.zone,
          true,
          {},
          settings.process.seed_balancers};
}

bool IsLeaving(const std::vector<InstanceRecord>& instances, TargetId target) {
  return std::any_of(instances.begin(), instances.end(),
                     [&](const InstanceRecord& record) {
                       return record.role == InstanceRecord::Role::kAgent &&
                              record.target == target && record.leaving;
                     });
}

}  // namespace

AgentProcess::AgentProcess(const AgentSettings& settings,
                           const Clock& clock,
                           Logger* logger)
    : m_settings(settings),
      m_clock(clock),
      m_logger(logger),
      m_mesh(MakeMeshSettings(settings),
             settings.process.platform_address,
             clock,
             logger,
             {[this](DocumentKind kind) { Install(kind); },
              [this](TimePoint until) { ExtendLease(until); }}),
      m_process_report(kProgram,
                       FIREFLYTRESTLE_VERSION,
                       settings.process,
                       m_mesh,
                       clock.Now()),
      m_report(settings.target_id),
      m_signals([this] { BeginStop(); }) {}

AgentProcess::~AgentProcess() {
  m_admin.reset();
  m_thread.Run([this] { m_worker.reset(); });
}

boost::leaf::result<void> AgentProcess::Start() {
  BOOST_LEAF_AUTO(socket, UdpSocket::Bind(m_settings.agent_address));
  auto publish = [this](const AgentSnapshot& snapshot) {
    m_tasks.Post(
        [this, snapshot] { m_report.Record(snapshot, m_clock.Now()); });
  };
  m_thread.Run([&] {
    m_worker = std::make_unique<AgentWorker>(m_settings, std::move(socket),
                                             m_clock, std::move(publish));
  });
  BOOST_LEAF_ASSIGN(
      m_admin, AdminEndpoint::Open(
                   m_settings.process.admin_address,
                   {[this] { return Metrics(); }, [this] { return State(); },
                    [this](std::string* reason) {
                      *reason = ReasonNotReady();
                      return reason->empty();
                    }}));
  BOOST_LEAF_CHECK(m_mesh.Start());
  m_logger->Write(LogLevel::kInfo, "started", "the agent has started");
  return {};
}

void AgentProcess::Install(DocumentKind kind) {
  const MeshNode& node = m_mesh.node();
  if (kind == DocumentKind::kConfiguration) {
    m_process_report.RecordConfiguration(m_clock.Now());
    const auto configuration =
        std::make_shared<const Configuration>(node.configuration());
    m_thread.Post(
        [this, configuration] { m_worker->SetConfiguration(*configuration); });
    return;
  }
  const bool leaving = IsLeaving(node.instances(), m_settings.target_id);
  if (leaving == m_leaving) {
    return;
  }
  m_leaving = leaving;
  m_logger->Write(LogLevel::kInfo, "leaving_changed",
                  leaving ? "the instance list marks the target as leaving"
                          : "the instance list no longer marks the target as "
                            "leaving");
  m_thread.Post([this, leaving] { m_worker->SetLeaving(leaving); });
}

void AgentProcess::ExtendLease(TimePoint until) {
  m_thread.Post([this, until] { m_worker->SetLease(until); });
}

void AgentProcess::BeginStop() {
  m_logger->Write(LogLevel::kInfo, "stopping",
                  "graceful stop: sending HANDOVER to all open flows");
  m_stopping = true;
  m_thread.Post([this] {
    m_worker->BeginStop([this] {
      m_tasks.Post([this] {
        m_logger->Write(LogLevel::kInfo, "stopped", "the agent has stopped");
        QCoreApplication::quit();
      });
    });
  });
}

std::string AgentProcess::ReasonNotReady() const {
  std::string reason =
      m_process_report.ReasonNotReady(m_stopping, m_clock.Now());
  const std::vector<TargetSettings>& targets =
      m_mesh.node().configuration().targets;
  const bool configured = std::any_of(
      targets.begin(), targets.end(), [&](const TargetSettings& target) {
        return target.id == m_settings.target_id;
      });
  if (reason.empty() && !configured) {
    reason = "the configuration does not name the target";
  }
  return reason;
}

std::string AgentProcess::Metrics() {
  MetricsWriter metrics;
  m_process_report.WriteMetrics(m_stopping, m_clock.Now(), &metrics);
  m_report.WriteMetrics(m_mesh.node().configuration(), m_process_report,
                        &metrics);
  return metrics.Write();
}

std::string AgentProcess::State() {
  const TimePoint now = m_clock.Now();
  nlohmann::ordered_json state = m_process_report.State(m_stopping, now);
  m_report.AddState(m_mesh.node().configuration(), m_process_report, now,
                    &state);
  return state.dump(2) + "\n";
}

}  // namespace fireflytrestle
