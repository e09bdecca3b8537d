#ifndef FIREFLYTRESTLE_TESTS_SOAK_SOAKSITE_H_
#define FIREFLYTRESTLE_TESTS_SOAK_SOAKSITE_H_

#include <QTcpServer>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakestore.h"
#include "fakes/siteprocesses.h"
#include "libbase/steadyclock.h"
#include "soak/loopbackproxy.h"
#include "soak/processorwaitlog.h"
#include "soak/soakcallers.h"
#include "soak/soakupstream.h"
#include "soak/straypacketmonitor.h"

namespace fireflytrestle {

/// \brief A site of real processes on loopback with callers, upstreams, a store
/// and a proxy between the processes. Records violations of the invariants.
class SoakSite {
 public:
  struct Size {
    std::size_t balancers = 3;
    std::size_t agents = 5;
    std::size_t feeds = 30;
    bool has_idle_feeds = false;
    int orders_per_second = 40;
    /// All faults are planned work, during which FLOW holds without exception.
    bool is_planned_only = false;
    /// Orders have a higher priority than feeds.
    bool has_priorities = false;
    /// Agents are told when they start for the first time. Earlier versions of
    /// the programs lack the flag.
    bool has_first_start_flag = true;
  };

  /// A process counts as stable this long after the last fault on it.
  static constexpr std::chrono::seconds kStableAfter{4};
  /// Time after which no new flow may reach a draining upstream, or an upstream
  /// in a zone that was taken out.
  static constexpr std::chrono::seconds kDrainDeadline{3};
  static constexpr std::chrono::seconds kZoneOutDeadline{5};
  /// Time after which a configuration has to be in effect at every balancer
  /// that is stable.
  static constexpr std::chrono::seconds kConfigurationDeadline{3};
  /// An address is used again no earlier than this after its upstream's end.
  static constexpr std::chrono::seconds kReuseAfter{2};
  static constexpr std::size_t kServices = 2;
  /// Work of a request without a shortage.
  static constexpr std::chrono::milliseconds kUsualWork{10};

  /// \p network is the second byte of all addresses, so that several soak runs
  /// can share a machine.
  SoakSite(const Size& size,
           std::uint64_t seed,
           int network,
           const QString& programs,
           const QString& logs);

  /// Starts all processes, then the feeds. Returns whether all sockets could be
  /// bound and all balancers are ready within 10 s.
  bool Start();

  /// Runs traffic and checks for \p time.
  void Run(std::chrono::milliseconds time) {
    Run(time, m_size.orders_per_second);
  }
  /// The same with another number of orders in addition to the feeds.
  void Run(std::chrono::milliseconds time, int orders_per_second);

  /// Fault injection. Instances are numbered: balancers first, then agents.
  std::size_t instances() const { return m_instances.size(); }
  std::size_t balancers() const { return m_size.balancers; }
  void Signal(std::size_t instance, int signal);
  void StartProcess(std::size_t instance);
  bool IsRunning(std::size_t instance) const;
  /// Whether the process runs and was told to stop.
  bool IsStopping(std::size_t instance) const {
    return IsRunning(instance) && m_instances[instance].stop_requested;
  }
  /// Whether the process has sent a message since it started. Earlier, a signal
  /// may end it before it has installed its handlers.
  bool HasStarted(std::size_t instance) const {
    return IsRunning(instance) &&
           m_instances[instance].last_message > m_instances[instance].started;
  }
  /// Impairments at the proxy. Each call counts as a fault on the instance.
  LoopbackProxy::Impairment& From(std::size_t instance);
  LoopbackProxy::Impairment& To(std::size_t instance);
  void SetStoreFault(std::size_t balancer, FakeStore::Fault fault);
  /// Sets the work of a request at all upstreams.
  void SetWork(std::chrono::milliseconds work);
  void DropStoreHistory();
  /// Balancers that watch the operators' part of the store.
  std::set<std::size_t> StoreReaders() const { return m_store.Watchers("op/"); }
  void RestartUpstream(std::size_t agent);
  /// Ends an upstream, whose entry is removed. Returns false if it has ended
  /// already, or if too few upstreams of its service would be left.
  bool EndUpstream(std::size_t agent);
  /// Starts an upstream of the other service at the address of one that has
  /// ended.
  void ReuseAddress(std::size_t agent);
  /// Writes an entry that names no upstream: deeply nested, with a number or
  /// port out of range, with a field missing, or of an unknown service.
  void PutOddEntry(std::size_t agent, std::uint64_t kind);
  void SetDraining(std::size_t agent, bool draining);
  void SetZoneOut(bool out);
  void PublishConfiguration();
  /// Ends all faults and starts the processes that are not running.
  void EndAllFaults();

  /// Runs traffic for 2 s and checks that no request fails, and that no order
  /// of the whole run ran more than once.
  void CheckServesNewFlows();

  /// Checks that no larger share of the orders failed than of the feeds'
  /// requests, and that no smaller one was answered in time.
  void CheckOrdersComeFirst();

  const std::vector<std::string>& violations() const { return m_violations; }
  std::string Summary() const;
  TimePoint Now() const { return m_clock.Now(); }

 private:
  struct Instance {
    std::string name;
    SocketAddress process;
    SocketAddress proxy_address;
    std::string zone;
    TimePoint last_fault{};
    /// When the machine last failed to run this process or the soak itself in
    /// time.
    TimePoint last_stall{};
    /// Last fault of the store for this balancer.
    TimePoint last_store_fault{};
    TimePoint last_message{};
    /// Last start; the epoch before the first one.
    TimePoint started{};
    /// Whether the process was killed and has not been started again, and the
    /// last start after that.
    bool is_killed = false;
    TimePoint last_recovery{};
    bool stop_requested = false;
    /// Number of SIGTERMs; the second one ends a process at once, with exit
    /// code 1.
    int stop_signals = 0;
    bool ready = true;
  };

  struct Upstream {
    std::unique_ptr<SoakUpstream> upstream;
    std::unique_ptr<QTcpServer> listener;
    std::size_t service = 0;
    std::uint64_t incarnation = 1;
    bool draining = false;
    TimePoint draining_since{};
    bool ended = false;
  };

  /// A violation whose text is to be completed.
  struct PendingDescription {
    TimePoint due;
    std::size_t violation = 0;
    std::vector<std::size_t> instances;
  };

  QStringList Arguments(std::size_t instance) const;
  SocketAddress MakeAddress(int block,
                            std::size_t number,
                            std::uint16_t port) const;
  bool IsBalancer(std::size_t instance) const {
    return instance < m_size.balancers;
  }
  void Step();
  void ProbeReadiness(std::size_t balancer);
  /// Checks the version of the configuration in effect at a stable balancer.
  void ProbeConfiguration(std::size_t balancer);
  /// Returns the version that every stable balancer must have in effect.
  std::uint64_t DueConfiguration() const;
  void CheckProcesses();
  void MarkFaulty(std::size_t instance);
  void MarkStalled(std::size_t instance);
  bool IsStable(std::size_t instance) const;
  /// Whether FLOW holds for the instance. A stall is no exception under planned
  /// work.
  bool IsInTouch(std::size_t instance) const;
  /// Whether the instance's process also has run for kStableAfter if it was
  /// killed before: a machine is in touch only while its processes run.
  bool HasRecovered(std::size_t instance) const;
  /// Adds to the last violation how long the machine did not run the instances
  /// around this time. The kernel counts a wait at its end, so that the text
  /// follows a second later.
  void DescribeWaits(const std::vector<std::size_t>& instances);
  void CompleteDescriptions();
  void SampleProcessorWait(std::size_t instance);
  /// Whether the store serves the balancer, and has for kStableAfter.
  bool HasStoreAccess(std::size_t balancer) const;
  /// Whether the store serves balancers, and has for kStableAfter.
  bool IsStoreStable() const;
  void PutUpstreamEntry(std::size_t agent);
  std::string MakeEntry(std::size_t agent) const;
  SocketAddress Route(const FlowTuple& tuple, const FlowPacket& packet);
  void OnReset(const FlowTuple& tuple, const SocketAddress& sender);
  void OnOpening(std::size_t agent, const FlowPacket& packet);
  void OnFlowPacket(std::size_t agent,
                    const FlowPacket& packet,
                    bool holds_flow);
  /// Returns the agent whose upstream holds the open flow.
  std::optional<std::size_t> FindOwner(const FlowTuple& tuple) const;
  void CheckStrayPackets();
  void OnRequestRun(std::size_t agent, const SoakPayload& payload);
  void AddViolation(const std::string& what);

  Size m_size;
  int m_network;
  SteadyClock m_clock;
  SiteProcesses m_processes;
  FakeStore m_store;
  LoopbackProxy m_proxy;
  std::vector<Instance> m_instances;
  std::vector<Upstream> m_upstreams;
  std::unique_ptr<SoakCallers> m_callers;
  std::vector<SoakCallers::Route> m_routes;
  std::uint64_t m_configuration = 0;
  /// When each version was published.
  std::map<std::uint64_t, TimePoint> m_published;
  std::uint64_t m_odd_entries = 0;
  bool m_zone_out = false;
  TimePoint m_zone_out_since{};
  TimePoint m_store_last_fault{};
  std::set<std::size_t> m_store_faults;
  TimePoint m_last_step{};
  TimePoint m_last_probe{};
  StrayPacketMonitor m_stray_packets;
  ProcessorWaitLog m_processor_waits;
  TimePoint m_last_wait_sample{};
  std::vector<PendingDescription> m_pending_descriptions;
  std::map<std::uint64_t, std::size_t> m_runs;
  std::uint64_t m_stalls = 0;
  std::vector<std::string> m_violations;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKSITE_H_
