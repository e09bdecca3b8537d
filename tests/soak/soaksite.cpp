#include "soak/soaksite.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QEventLoop>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <csignal>
#include <utility>

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPacketPort = 21870;
constexpr std::uint16_t kNodePort = 21871;
constexpr std::uint16_t kAdminPort = 21872;
constexpr std::uint16_t kUpstreamPort = 21873;
constexpr std::uint16_t kOutboundPort = 21874;
/// Third byte of the addresses of each group of processes.
enum AddressBlock {
  kBalancers = 1,
  kAgents,
  kBalancerProxies,
  kAgentProxies,
  kCallers
};
constexpr std::size_t kCallerAddresses = 4;
constexpr std::uint32_t kRouteAddress = 0xC6120001;
constexpr std::uint16_t kFeedPort = 443;
constexpr std::uint16_t kOrderPort = 8080;
constexpr std::uint16_t kIdleRoutes = 30;
constexpr std::uint16_t kFirstIdlePort = 10000;
/// A service keeps more upstreams than this.
constexpr std::ptrdiff_t kMinUpstreams = 2;
constexpr milliseconds kReadyTimeout{10000};
constexpr milliseconds kProbeInterval{500};
constexpr milliseconds kReadyAnswerTimeout{300};
constexpr milliseconds kWaitSampleInterval{250};
constexpr milliseconds kDescriptionDelay{1000};
constexpr int kStepMs = 2;
/// Agents report every 100 ms and balancers every 250 ms. A stable process that
/// sends nothing for longer than its threshold was not scheduled by the
/// machine, which counts as a fault and not as a violation.
constexpr milliseconds kAgentStallThreshold{250};
constexpr milliseconds kBalancerStallThreshold{600};
/// A longer pause of this program also stalls callers, upstreams, store and
/// proxy, and counts as a fault on all processes.
constexpr milliseconds kDriverStallThreshold{100};
constexpr char kTakenOutZone[] = "b";

std::string Priority(const SoakCallers::Route& route) {
  return route.feed ? R"(,"priority":5)" : R"(,"priority":0)";
}

}  // namespace

SoakSite::SoakSite(const Size& size,
                   std::uint64_t seed,
                   int network,
                   const QString& programs,
                   const QString& logs)
    : m_size(size),
      m_network(network),
      m_processes(programs, logs),
      m_store(QHostAddress(MakeAddress(kCallers, 100, 1).ipv4), size.balancers),
      m_proxy(seed,
              [this](const SocketAddress& proxy_address) {
                for (Instance& each : m_instances) {
                  if (each.proxy_address == proxy_address) {
                    each.last_message = Now();
                  }
                }
              }),
      m_stray_packets([this](std::size_t instance) {
        return IsInTouch(instance) && HasRecovered(instance);
      }) {
  for (std::size_t i = 0; i < size.balancers + size.agents; ++i) {
    const bool balancer = IsBalancer(i);
    const std::size_t number = balancer ? i : i - size.balancers;
    Instance instance;
    instance.name =
        (balancer ? "balancer-" : "agent-") + std::to_string(number);
    instance.zone = number % 2 == 0 ? "a" : kTakenOutZone;
    const std::uint16_t port = balancer ? kNodePort : kPacketPort;
    instance.process =
        MakeAddress(balancer ? kBalancers : kAgents, number, port);
    instance.proxy_address =
        MakeAddress(balancer ? kBalancerProxies : kAgentProxies, number, port);
    m_instances.push_back(instance);
  }
  for (std::size_t agent = 0; agent < size.agents; ++agent) {
    Upstream upstream;
    upstream.service = agent < size.agents - 1 ? 0 : 1;
    upstream.upstream = std::make_unique<SoakUpstream>(
        MakeAddress(kAgents, agent, kUpstreamPort),
        MakeAddress(kAgents, agent, kOutboundPort),
        static_cast<std::uint32_t>(agent + 1),
        SoakUpstream::Observer{
            [this, agent](const FlowPacket& packet) {
              OnOpening(agent, packet);
            },
            [this, agent](const FlowPacket& packet, bool holds_flow) {
              OnFlowPacket(agent, packet, holds_flow);
            },
            [this, agent](const SoakPayload& payload) {
              OnRequestRun(agent, payload);
            }});
    upstream.listener = std::make_unique<QTcpServer>();
    upstream.listener->listen(QHostAddress(MakeAddress(kAgents, agent, 1).ipv4),
                              kUpstreamPort);
    m_upstreams.push_back(std::move(upstream));
  }
  for (std::size_t service = 0; service < kServices; ++service) {
    const auto shift = static_cast<std::uint16_t>(service);
    m_routes.push_back(
        {{kRouteAddress, static_cast<std::uint16_t>(kFeedPort + shift)},
         service,
         true});
    m_routes.push_back(
        {{kRouteAddress, static_cast<std::uint16_t>(kOrderPort + shift)},
         service,
         false});
  }
  std::vector<SocketAddress> callers;
  for (std::size_t i = 0; i < kCallerAddresses; ++i) {
    callers.push_back(MakeAddress(kCallers, i, kPacketPort));
  }
  m_callers = std::make_unique<SoakCallers>(
      callers, seed,
      SoakCallers::Callbacks{
          [this](const FlowTuple& tuple, const FlowPacket& packet) {
            return Route(tuple, packet);
          },
          [this](const FlowTuple& tuple, const SocketAddress& sender) {
            OnReset(tuple, sender);
          },
          [this](const FlowTuple& tuple) {
            AddViolation("an answer for another request reached " +
                         ToString(tuple.caller));
          }});
}

SocketAddress SoakSite::MakeAddress(int block,
                                    std::size_t number,
                                    std::uint16_t port) const {
  constexpr std::uint32_t kLoopback = 127U << 24U;
  return {kLoopback | static_cast<std::uint32_t>(m_network) << 16U |
              static_cast<std::uint32_t>(block) << 8U |
              static_cast<std::uint32_t>(number + 1),
          port};
}

bool SoakSite::Start() {
  PublishConfiguration();
  for (std::size_t agent = 0; agent < m_size.agents; ++agent) {
    if (!m_upstreams[agent].upstream->IsBound()) {
      return false;
    }
    PutUpstreamEntry(agent);
  }
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    if (!m_proxy.Add(m_instances[i].process, m_instances[i].proxy_address)) {
      return false;
    }
    m_instances[i].ready = !IsBalancer(i);
    StartProcess(i);
  }
  if (!m_callers->AreBound()) {
    return false;
  }
  const TimePoint begin = Now();
  const auto all_ready = [this] {
    for (const Instance& each : m_instances) {
      if (!each.ready) {
        return false;
      }
    }
    return true;
  };
  while (!all_ready() && Now() - begin < kReadyTimeout) {
    Step();
  }
  m_callers->SetIdleFeeds(m_size.has_idle_feeds);
  for (std::size_t feed = 0; feed < m_size.feeds; ++feed) {
    m_callers->Start(m_routes[feed % 4 == 0 ? 2 : 0], Now());
  }
  return all_ready();
}

QStringList SoakSite::Arguments(std::size_t index) const {
  const Instance& instance = m_instances[index];
  const auto text = [](const SocketAddress& address) {
    return QString::fromStdString(ToString(address));
  };
  const std::uint32_t ipv4 = instance.process.ipv4;
  QStringList arguments{"--instance=" + QString::fromStdString(instance.name),
                        "--zone=" + QString::fromStdString(instance.zone),
                        "--admin-address=" + text({ipv4, kAdminPort}),
                        "--node-address=" + text(instance.process)};
  if (IsBalancer(index)) {
    const SocketAddress store{MakeAddress(kCallers, 100, 1).ipv4,
                              m_store.port(index)};
    return arguments << "--frontend-address=" + text({ipv4, kPacketPort})
                     << "--platform-address=" + text(store);
  }
  if (m_size.has_first_start_flag && instance.started == TimePoint{}) {
    arguments << "--first-start=true";
  }
  const Upstream& upstream = m_upstreams[index - m_size.balancers];
  return arguments << "--service=s" + QString::number(upstream.service)
                   << "--outbound-address=" + text({ipv4, kOutboundPort})
                   << "--upstream-address=" + text({ipv4, kUpstreamPort})
                   << "--seed-balancers=" + text(m_instances[0].proxy_address)
                   << "--balancer-port=" + QString::number(kNodePort);
}

void SoakSite::StartProcess(std::size_t index) {
  Instance& instance = m_instances[index];
  if (m_processes.IsRunning(instance.name)) {
    return;
  }
  if (std::exchange(instance.is_killed, false)) {
    instance.last_recovery = Now();
  }
  instance.stop_requested = false;
  instance.stop_signals = 0;
  instance.last_message = Now();
  m_processes.Start(instance.name,
                    IsBalancer(index) ? "fireflytrestle-flowbalancer"
                                      : "fireflytrestle-flowagent",
                    Arguments(index));
  instance.started = instance.last_message;
}

bool SoakSite::IsRunning(std::size_t instance) const {
  return m_processes.IsRunning(m_instances[instance].name);
}

void SoakSite::Signal(std::size_t index, int signal) {
  Instance& instance = m_instances[index];
  m_processes.Signal(instance.name, signal);
  if (signal == SIGTERM) {
    instance.stop_requested = true;
    ++instance.stop_signals;
  } else if (signal != SIGHUP) {
    instance.stop_requested |= signal == SIGKILL;
    instance.is_killed |= signal == SIGKILL;
    MarkFaulty(index);
  }
}

LoopbackProxy::Impairment& SoakSite::From(std::size_t instance) {
  MarkFaulty(instance);
  return m_proxy.from(m_instances[instance].proxy_address);
}

LoopbackProxy::Impairment& SoakSite::To(std::size_t instance) {
  MarkFaulty(instance);
  return m_proxy.to(m_instances[instance].proxy_address);
}

void SoakSite::SetStoreFault(std::size_t balancer, FakeStore::Fault fault) {
  m_store.SetFault(balancer, fault);
  const bool failed_for_all = m_store_faults.size() == m_size.balancers;
  if (fault == FakeStore::Fault::kNone) {
    m_store_faults.erase(balancer);
  } else {
    m_store_faults.insert(balancer);
  }
  m_instances[balancer].last_store_fault = Now();
  if (failed_for_all || m_store_faults.size() == m_size.balancers) {
    m_store_last_fault = Now();
  }
}

void SoakSite::DropStoreHistory() {
  m_store.DropHistory();
  m_store_last_fault = Now();
}

void SoakSite::RestartUpstream(std::size_t agent) {
  m_upstreams[agent].upstream->Restart();
  ++m_upstreams[agent].incarnation;
  MarkFaulty(m_size.balancers + agent);
  PutUpstreamEntry(agent);
}

bool SoakSite::EndUpstream(std::size_t agent) {
  Upstream& ended = m_upstreams[agent];
  const auto left = std::count_if(
      m_upstreams.begin(), m_upstreams.end(), [&](const Upstream& each) {
        return !each.ended && each.service == ended.service;
      });
  if (ended.ended || left <= kMinUpstreams) {
    return false;
  }
  ended.ended = true;
  ended.upstream->SetDown(true);
  ended.listener->close();
  MarkFaulty(m_size.balancers + agent);
  m_store.Remove("servers/i-" + std::to_string(agent));
  return true;
}

void SoakSite::ReuseAddress(std::size_t agent) {
  Upstream& upstream = m_upstreams[agent];
  upstream.ended = false;
  upstream.draining = false;
  upstream.service = 1 - upstream.service;
  ++upstream.incarnation;
  upstream.upstream->SetDown(false);
  upstream.listener->listen(QHostAddress(MakeAddress(kAgents, agent, 1).ipv4),
                            kUpstreamPort);
  MarkFaulty(m_size.balancers + agent);
  PutUpstreamEntry(agent);
}

void SoakSite::PutOddEntry(std::size_t agent, std::uint64_t kind) {
  constexpr std::size_t kNesting = 100'000;
  std::string entry = MakeEntry(agent);
  const auto replace = [&](const std::string& from, const std::string& to) {
    entry.replace(entry.find(from), from.size(), to);
  };
  switch (kind) {
    case 0:
      entry = std::string(kNesting, '[');
      break;
    case 1:
      replace("\"v1\"",
              std::string(kNesting, '[') + std::string(kNesting, ']'));
      break;
    case 2:
      replace("\"seq\":1", "\"seq\":1e999");
      break;
    case 3:
      replace(":" + std::to_string(kUpstreamPort), ":70000");
      break;
    case 4:
      replace("\"version\":\"v1\",", "");
      break;
    default:
      replace("\"service\":\"s", "\"service\":\"old-s");
  }
  m_store.Put("servers/odd-" + std::to_string(++m_odd_entries), entry);
}

void SoakSite::SetDraining(std::size_t agent, bool draining) {
  m_upstreams[agent].draining = draining;
  m_upstreams[agent].draining_since = Now();
  PutUpstreamEntry(agent);
}

void SoakSite::SetZoneOut(bool out) {
  m_zone_out = out;
  m_zone_out_since = Now();
  const std::string key = std::string("op/evacuate/") + kTakenOutZone;
  out ? m_store.Put(key, "{}") : m_store.Remove(key);
}

void SoakSite::PutUpstreamEntry(std::size_t agent) {
  if (!m_upstreams[agent].ended) {
    m_store.Put("servers/i-" + std::to_string(agent), MakeEntry(agent));
  }
}

std::string SoakSite::MakeEntry(std::size_t agent) const {
  const Upstream& upstream = m_upstreams[agent];
  const Instance& instance = m_instances[m_size.balancers + agent];
  return R"({"service":"s)" + std::to_string(upstream.service) +
         R"(","address":")" +
         ToString({instance.proxy_address.ipv4, kUpstreamPort}) +
         R"(","zone":")" + instance.zone +
         R"(","version":"v1","concurrency_limit":3,"born":)" +
         std::to_string(upstream.incarnation) + R"(,"state":")" +
         (upstream.draining ? "draining" : "ready") +
         R"(","cold_left_ms":0,"seq":1})";
}

void SoakSite::PublishConfiguration() {
  std::string routes;
  for (const SoakCallers::Route& route : m_routes) {
    routes += routes.empty() ? "" : ",";
    routes += R"({"name":"r","host":"198.18.0.1","prefix":"/)" +
              std::to_string(route.address.port) + R"(/","kind":")" +
              (route.feed ? "safe" : "unsafe") +
              R"(","timeout_ms":1000,"slo_ms":200,"service":"s)" +
              std::to_string(route.service) + "\"" +
              (m_size.has_priorities ? Priority(route) : "") + "}";
  }
  // Routes without traffic, so that the configuration fits into no message.
  for (std::uint16_t i = 0; i < kIdleRoutes; ++i) {
    routes += R"(,{"name":"idle","host":"198.18.0.2","prefix":"/)" +
              std::to_string(kFirstIdlePort + i) +
              R"(/","kind":"safe","service":"s0"})";
  }
  m_published[m_configuration + 1] = Now();
  m_store.Put("op/config",
              R"({"version":)" + std::to_string(++m_configuration) +
                  R"(,"routes":[)" + routes +
                  R"(],"services":[{"name":"s0","max_conns":2000},)"
                  R"({"name":"s1","max_conns":2000}],)"
                  R"("limits":{"idle_timeout_ms":15000}})");
}

void SoakSite::SetWork(milliseconds work) {
  for (const Upstream& each : m_upstreams) {
    each.upstream->SetWork(work);
  }
}

void SoakSite::EndAllFaults() {
  SetWork(kUsualWork);
  m_proxy.EndAllFaults();
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    m_processes.Signal(m_instances[i].name, SIGCONT);
    StartProcess(i);
    if (!m_size.is_planned_only) {
      MarkFaulty(i);
    }
  }
  for (std::size_t balancer = 0; balancer < m_size.balancers; ++balancer) {
    SetStoreFault(balancer, FakeStore::Fault::kNone);
  }
  for (std::size_t agent = 0; agent < m_size.agents; ++agent) {
    if (m_upstreams[agent].ended) {
      m_processes.Signal(m_instances[m_size.balancers + agent].name, SIGKILL);
      m_instances[m_size.balancers + agent].stop_requested = true;
      m_instances[m_size.balancers + agent].is_killed = true;
      ReuseAddress(agent);
    }
    SetDraining(agent, false);
  }
  SetZoneOut(false);
}

void SoakSite::Run(milliseconds time, int orders_per_second) {
  const TimePoint begin = Now();
  const Duration interval =
      Duration(std::chrono::seconds(1)) / std::max(orders_per_second, 1);
  TimePoint next_order = begin;
  std::uint64_t orders = 0;
  while (Now() - begin < time) {
    if (Now() >= next_order && orders_per_second > 0) {
      next_order += interval;
      m_callers->Start(m_routes[++orders % 4 == 0 ? 3 : 1], Now());
    }
    Step();
  }
}

void SoakSite::Step() {
  QCoreApplication::processEvents(QEventLoop::AllEvents, kStepMs);
  const TimePoint now = Now();
  if (m_last_step != TimePoint{} && now - m_last_step > kDriverStallThreshold) {
    ++m_stalls;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      MarkStalled(i);
    }
  }
  m_last_step = now;
  m_proxy.Run(now);
  for (const Upstream& each : m_upstreams) {
    each.upstream->Run(now);
  }
  m_callers->Run(now);
  if (now - m_last_wait_sample >= kWaitSampleInterval) {
    m_last_wait_sample = now;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      SampleProcessorWait(i);
    }
    // The soak has the number after the instances.
    m_processor_waits.Sample(m_instances.size(),
                             QCoreApplication::applicationPid(), now);
    CompleteDescriptions();
  }
  if (now - m_last_probe >= kProbeInterval) {
    m_last_probe = now;
    for (std::size_t i = 0; i < m_size.balancers; ++i) {
      ProbeReadiness(i);
      ProbeConfiguration(i);
    }
    CheckProcesses();
  }
  CheckStrayPackets();
}

void SoakSite::ProbeReadiness(std::size_t index) {
  auto* socket = new QTcpSocket;
  QObject::connect(socket, &QTcpSocket::connected, socket, [socket] {
    socket->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  });
  QTimer::singleShot(kReadyAnswerTimeout, socket, [this, socket, index] {
    m_instances[index].ready =
        socket->isOpen() && socket->readAll().contains(" 200 ");
    socket->abort();
    socket->deleteLater();
  });
  socket->connectToHost(QHostAddress(m_instances[index].process.ipv4),
                        kAdminPort);
}

std::uint64_t SoakSite::DueConfiguration() const {
  std::uint64_t due = 0;
  for (const auto& [version, published_at] : m_published) {
    if (Now() - published_at > kConfigurationDeadline) {
      due = version;
    }
  }
  return due;
}

void SoakSite::ProbeConfiguration(std::size_t index) {
  const std::uint64_t due = DueConfiguration();
  if (!IsStable(index) || !HasStoreAccess(index) || !IsRunning(index) ||
      m_instances[index].stop_requested || !IsStoreStable()) {
    return;
  }
  auto* socket = new QTcpSocket;
  QObject::connect(socket, &QTcpSocket::connected, socket, [socket] {
    socket->write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  });
  QTimer::singleShot(kReadyAnswerTimeout, socket, [this, socket, index, due] {
    static const QByteArray kName = "configuration_version ";
    const QByteArray answer = socket->readAll();
    const auto at = answer.lastIndexOf(kName);
    if (at >= 0) {
      const double version =
          answer.mid(at + kName.size()).split('\n').front().toDouble();
      if (version < static_cast<double>(due)) {
        AddViolation(m_instances[index].name + " has version " +
                     std::to_string(static_cast<std::uint64_t>(version)) +
                     " in effect more than 3 s after version " +
                     std::to_string(due) + " was published");
      }
    }
    socket->abort();
    socket->deleteLater();
  });
  socket->connectToHost(QHostAddress(m_instances[index].process.ipv4),
                        kAdminPort);
}

void SoakSite::CheckProcesses() {
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    const Instance& each = m_instances[i];
    const Duration bound =
        IsBalancer(i) ? kBalancerStallThreshold : kAgentStallThreshold;
    if (IsRunning(i) && IsStable(i) && Now() - each.last_message > bound) {
      ++m_stalls;
      MarkStalled(i);
    }
    if (!IsRunning(i) && !each.stop_requested) {
      AddViolation(each.name + " exited without a stop signal, " +
                   m_processes.DescribeEnd(each.name));
      StartProcess(i);
    }
    if (!IsRunning(i) && each.stop_requested &&
        m_processes.ExitCode(each.name) > (each.stop_signals > 1 ? 1 : 0)) {
      AddViolation(each.name + " stopped with exit code " +
                   std::to_string(m_processes.ExitCode(each.name)));
    }
  }
}

void SoakSite::MarkFaulty(std::size_t instance) {
  m_instances[instance].last_fault = Now();
}

void SoakSite::MarkStalled(std::size_t instance) {
  m_instances[instance].last_stall = Now();
}

bool SoakSite::IsStable(std::size_t instance) const {
  const Instance& each = m_instances[instance];
  return Now() - std::max(each.last_fault, each.last_stall) > kStableAfter;
}

bool SoakSite::IsInTouch(std::size_t instance) const {
  return m_size.is_planned_only
             ? Now() - m_instances[instance].last_fault > kStableAfter
             : IsStable(instance);
}

bool SoakSite::HasRecovered(std::size_t instance) const {
  const Instance& each = m_instances[instance];
  return !each.is_killed && Now() - each.last_recovery > kStableAfter;
}

void SoakSite::DescribeWaits(const std::vector<std::size_t>& instances) {
  m_pending_descriptions.push_back(
      {Now() + kDescriptionDelay, m_violations.size() - 1, instances});
}

void SoakSite::CompleteDescriptions() {
  std::erase_if(m_pending_descriptions, [this](const PendingDescription& each) {
    if (Now() < each.due) {
      return false;
    }
    std::string& text = m_violations[each.violation];
    text += "; the soak waited " +
            std::to_string(
                m_processor_waits.LongestWait(m_instances.size()).count()) +
            " ms";
    for (const std::size_t instance : each.instances) {
      const milliseconds waited = m_processor_waits.LongestWait(instance);
      text += ", " + m_instances[instance].name + " " +
              std::to_string(waited.count()) + " ms";
      if (Now() - m_instances[instance].last_stall <= kStableAfter) {
        text += " with a stall";
      }
    }
    text += " for a processor within 2 s";
    return true;
  });
}

void SoakSite::SampleProcessorWait(std::size_t instance) {
  if (IsRunning(instance)) {
    m_processor_waits.Sample(
        instance, m_processes.ProcessId(m_instances[instance].name), Now());
  }
}

bool SoakSite::HasStoreAccess(std::size_t balancer) const {
  return !m_store_faults.contains(balancer) &&
         Now() - m_instances[balancer].last_store_fault > kStableAfter;
}

bool SoakSite::IsStoreStable() const {
  return Now() - m_store_last_fault > kStableAfter;
}

SocketAddress SoakSite::Route(const FlowTuple& tuple,
                              const FlowPacket& packet) {
  std::vector<std::size_t> rotation;
  for (std::size_t i = 0; i < m_size.balancers; ++i) {
    if (m_instances[i].ready) {
      rotation.push_back(i);
    }
  }
  for (std::size_t i = 0; rotation.empty() && i < m_size.balancers; ++i) {
    rotation.push_back(i);
  }
  const std::size_t chosen = rotation[HashTuple(tuple) % rotation.size()];
  m_stray_packets.OnSent(tuple, packet.sequence, chosen, Now());
  return {m_instances[chosen].process.ipv4, kPacketPort};
}

void SoakSite::OnReset(const FlowTuple& tuple, const SocketAddress& sender) {
  for (std::size_t agent = 0; agent < m_size.agents; ++agent) {
    if (!m_upstreams[agent].upstream->HasOpenFlow(tuple)) {
      continue;
    }
    const std::size_t owner = m_size.balancers + agent;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      const bool sent_it = m_instances[i].process.ipv4 == sender.ipv4;
      if (sent_it && IsInTouch(i) && IsInTouch(owner)) {
        AddViolation(m_instances[i].name + " reset a flow of " +
                     ToString(tuple.caller) + " that the upstream of " +
                     m_instances[owner].name + " holds");
        DescribeWaits({i, owner});
      }
    }
  }
}

void SoakSite::OnOpening(std::size_t agent, const FlowPacket& packet) {
  const FlowTuple tuple{packet.source, packet.destination};
  if (FindOwner(tuple)) {
    OnFlowPacket(agent, packet, FindOwner(tuple) == agent);
  }
  const Upstream& upstream = m_upstreams[agent];
  const std::size_t instance = m_size.balancers + agent;
  bool stable = IsStoreStable() && IsStable(instance);
  for (std::size_t i = 0; i < m_size.balancers; ++i) {
    stable = stable && IsStable(i) && HasStoreAccess(i);
  }
  // A retransmitted SYN can take up to a second to arrive.
  const Duration max_syn_delay = std::chrono::seconds(1);
  const bool drained = upstream.draining && Now() - upstream.draining_since >
                                                kDrainDeadline + max_syn_delay;
  const bool out = m_zone_out && m_instances[instance].zone == kTakenOutZone &&
                   Now() - m_zone_out_since > kZoneOutDeadline + max_syn_delay;
  if (stable && (drained || out)) {
    AddViolation("a new flow of " + ToString(tuple.caller) +
                 " reached the upstream of " + m_instances[instance].name +
                 (drained ? ", which is draining" : ", whose zone is out"));
  }
}

void SoakSite::OnFlowPacket(std::size_t agent,
                            const FlowPacket& packet,
                            bool holds_flow) {
  const FlowTuple tuple{packet.source, packet.destination};
  if (holds_flow) {
    m_stray_packets.OnOwnArrival(tuple, Now());
  } else if (const auto owner = FindOwner(tuple); owner && owner != agent) {
    m_stray_packets.OnStrayArrival(tuple, packet.sequence,
                                   m_size.balancers + *owner, Now());
  }
}

std::optional<std::size_t> SoakSite::FindOwner(const FlowTuple& tuple) const {
  for (std::size_t agent = 0; agent < m_size.agents; ++agent) {
    if (m_upstreams[agent].upstream->HasOpenFlow(tuple)) {
      return agent;
    }
  }
  return std::nullopt;
}

void SoakSite::CheckStrayPackets() {
  for (const auto& finding : m_stray_packets.TakeFindings(Now())) {
    AddViolation(std::to_string(finding.stray_packets) +
                 " packets of a flow of " + ToString(finding.tuple.caller) +
                 " reached other upstreams within 2 s and none that of " +
                 m_instances[finding.owner].name);
    DescribeWaits({finding.owner});
  }
}

void SoakSite::OnRequestRun(std::size_t agent, const SoakPayload& payload) {
  if (payload.service != m_upstreams[agent].service) {
    AddViolation("a request reached the upstream of another service, that of " +
                 m_instances[m_size.balancers + agent].name);
  }
  ++m_runs[payload.request];
}

void SoakSite::CheckServesNewFlows() {
  const SoakCallers::Counts before = m_callers->counts();
  constexpr milliseconds kCheck{2000};
  constexpr int kOrders = 50;
  Run(kCheck, kOrders);
  const SoakCallers::Counts after = m_callers->counts();
  if (after.failed != before.failed) {
    AddViolation(std::to_string(after.failed - before.failed) + " of " +
                 std::to_string(after.requests - before.requests) +
                 " requests failed after all faults had ended");
  }
  for (const auto& [request, runs] : m_runs) {
    if (runs > 1 && (request & SoakPayload::kOrder) != 0) {
      AddViolation("order " + std::to_string(request & ~SoakPayload::kOrder) +
                   " ran " + std::to_string(runs) + " times");
    }
  }
}

void SoakSite::CheckOrdersComeFirst() {
  const SoakCallers::Counts& counts = m_callers->counts();
  const std::uint64_t feeds = counts.requests - counts.orders;
  const std::uint64_t failed_feeds = counts.failed - counts.failed_orders;
  if (counts.failed_orders * feeds > failed_feeds * counts.orders) {
    AddViolation(std::to_string(counts.failed_orders) + " of " +
                 std::to_string(counts.orders) + " orders failed, but only " +
                 std::to_string(failed_feeds) + " of " + std::to_string(feeds) +
                 " requests of feeds");
  }
  const std::uint64_t feeds_in_time = counts.in_time - counts.orders_in_time;
  if (counts.orders_in_time * feeds < feeds_in_time * counts.orders) {
    AddViolation(std::to_string(counts.orders_in_time) + " of " +
                 std::to_string(counts.orders) +
                 " orders were answered in time, and " +
                 std::to_string(feeds_in_time) + " of " +
                 std::to_string(feeds) + " requests of feeds");
  }
}

std::string SoakSite::Summary() const {
  const SoakCallers::Counts& counts = m_callers->counts();
  return "requests " + std::to_string(counts.requests) + ", answered " +
         std::to_string(counts.answered) + ", failed " +
         std::to_string(counts.failed) + " (" +
         std::to_string(counts.failed_orders) + " of " +
         std::to_string(counts.orders) + " orders), in time " +
         std::to_string(counts.in_time) + " (" +
         std::to_string(counts.orders_in_time) +
         " orders), stalls of the machine " + std::to_string(m_stalls) +
         ", packets of open flows at others " +
         std::to_string(m_stray_packets.stray_packets()) + " (most in 2 s " +
         std::to_string(m_stray_packets.most_stray_packets()) + ")";
}

void SoakSite::AddViolation(const std::string& what) {
  m_violations.push_back(
      QDateTime::currentDateTimeUtc().toString("hh:mm:ss.zzz ").toStdString() +
      what);
}

}  // namespace fireflytrestle
