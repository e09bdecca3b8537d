#ifndef FIREFLYTRESTLE_TESTS_FAKES_SITE_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SITE_H_

#include <QElapsedTimer>
#include <QNetworkAccessManager>
#include <QString>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fakefabric.h"
#include "fakes/fakeplatform.h"
#include "fakes/fakeupstream.h"
#include "fakes/feedcaller.h"
#include "fakes/requestcaller.h"
#include "fakes/sitecontext.h"
#include "fakes/siteprocesses.h"
#include "libconfig/configuration.h"
#include "libconfig/instancerecord.h"

namespace fireflytrestle {

/// \brief Names, ports, latency and folders of one site.
struct SiteParameters {
  std::string name;
  /// Service with feeds and orders.
  std::string order_service;
  /// Service with documents.
  std::string document_service;
  std::uint16_t base_port = 0;
  std::chrono::milliseconds caller_latency{0};
  QString questionnaire;
  QString program_folder;
  QString work_folder;
};

/// \brief One site on loopback: the programs under test, and fakes of the
/// platform, fabric, upstreams and callers.
class Site {
 public:
  Site(SiteParameters parameters, std::uint64_t seed);
  ~Site();

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Generates the configuration and starts platform, fabric, upstreams, agents
  /// and balancers. Returns false if the configuration cannot be generated.
  bool Start();

  /// Returns whether every process is ready and has the published revision.
  bool IsReady();

  void StartCallers();
  /// Lets callers finish their pending requests and start no new ones.
  void CloseCallers() { m_context.closing = true; }
  bool AreCallersIdle() const;
  void SetLoad(double load) { m_context.load = load; }

  void StartBalancer(int number);
  void StopBalancer(int number);
  void KillBalancer(int number);
  /// The time until a revision has reached all processes is measured without
  /// paused ones.
  void PauseBalancer(int number);
  void ResumeBalancer(int number);

  /// Stops the agent with SIGTERM and, once it has exited, starts a new one for
  /// the same target. The upstream keeps running.
  void RestartAgent(std::size_t target);
  /// Kills the agent and starts it again after 1.5 s. The upstream keeps
  /// running.
  void KillAgent(std::size_t target);
  void DrainUpstream(std::size_t target);
  void RestartUpstreamCold(std::size_t target);
  void SilenceUpstream(std::size_t target);
  /// Adds one target of the order service, with upstream and agent, and
  /// publishes it.
  void AddTarget();
  /// Publishes a configuration without this target; its agent and upstream keep
  /// running for the flows that are open.
  void RemoveTarget(std::size_t target);

  void TakeZoneOut(const std::string& zone);
  void BringZoneIn(const std::string& zone);
  std::string ZoneName(std::size_t index) const {
    return m_configuration.zones.at(index).name;
  }

  /// Publishes the configuration file again if it has changed, for example
  /// because an operator ran fireflytrestle-ctl during the run.
  void PublishFileIfChanged();

  void SetPlatformDown(bool down) { m_platform->SetDown(down); }

  /// Stops callers and processes and returns the results of the run.
  SiteResults Finish();

 private:
  void StartAgent(const TargetSettings& target, bool cold_upstream);
  void StartAgentProcess(const TargetSettings& target);
  QStringList CommonArguments(std::uint64_t instance,
                              const std::string& zone,
                              std::uint16_t admin_port) const;
  void SetBalancerInFabric(int number, bool present);
  bool RunControlAndPublish(const QStringList& arguments);
  void PublishConfiguration(const Configuration& configuration);
  void PublishText(const std::string& text);
  void PublishInstances();
  void PollStates();
  void SampleImbalance();
  void MeasureZoneActivity();
  std::string ServiceName(ServiceId service) const;
  std::string ZoneNameOf(ZoneId zone) const;
  SocketAddress LocalAddress(int offset) const;
  std::string AgentName(const TargetSettings& target) const;

  SiteParameters m_parameters;
  /// Part of each caller's name, so that requests of an earlier run cannot be
  /// mistaken for those of this run.
  std::string m_run_id;
  SiteContext m_context;
  Configuration m_configuration;
  std::string m_published_text;
  std::uint64_t m_seed;
  std::unique_ptr<FakePlatform> m_platform;
  std::unique_ptr<FakeFabric> m_fabric;
  std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
  std::vector<std::unique_ptr<FeedCaller>> m_feeds;
  std::vector<std::unique_ptr<RequestCaller>> m_callers;
  std::map<std::uint64_t, InstanceRecord> m_instances;
  std::uint64_t m_instances_revision = 0;
  std::map<int, SocketAddress> m_fabric_balancers;
  /// Admin addresses of the processes that should be running, by process name.
  /// Paused processes are left out.
  std::map<std::string, SocketAddress> m_admin_addresses;
  std::map<std::string, std::uint64_t> m_revisions;
  std::map<std::string, bool> m_ready;
  QNetworkAccessManager m_http;
  QTimer m_poll_timer;
  QTimer m_sample_timer;
  QElapsedTimer m_since_publish;
  bool m_propagating = false;
  std::optional<ZoneId> m_watched_zone;
  QElapsedTimer m_since_zone_out;
  std::unique_ptr<SiteProcesses> m_processes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SITE_H_
