#include <doctest/doctest.h>

#include <QProcess>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <vector>

#include "fakes/fakestore.h"
#include "fakes/packetencoder.h"
#include "libnet/eventloop.h"
#include "libnet/udpsocket.h"
#include "platform/platformpacketcodec.h"

namespace fireflytrestle {

namespace {

constexpr char kBalancerProgram[] =
    PROGRAMS_FOLDER "/fireflytrestle-flowbalancer";
constexpr char kAgentProgram[] = PROGRAMS_FOLDER "/fireflytrestle-flowagent";
constexpr int kExitTimeoutMs = 8000;

// Each instance has its own address; the ports are the same for all.
constexpr char kStoreAddress[] = "127.0.10.9";
constexpr char kBalancerAddress[] = "127.0.10.1";
constexpr char kAgentAddress[] = "127.0.10.2";
constexpr char kCallerAddress[] = "127.0.10.3";
constexpr std::uint16_t kPacketPort = 21870;
constexpr std::uint16_t kNodePort = 21871;
constexpr std::uint16_t kAdminPort = 21872;
constexpr std::uint16_t kUpstreamPort = 21873;
constexpr std::uint16_t kOutboundPort = 21874;
constexpr SocketAddress kRoute{0xC6120001, 443};

QString FormatAddress(const char* address, std::uint16_t port) {
  return QString("%1:%2").arg(address).arg(port);
}

SocketAddress Address(const char* address, std::uint16_t port) {
  return *ParseSocketAddress(FormatAddress(address, port).toStdString());
}

/// \brief A bound socket that sends and receives packets.
class PacketSocket {
 public:
  PacketSocket(const char* address, std::uint16_t port) {
    auto bound = UdpSocket::Bind(Address(address, port));
    REQUIRE(bound);
    m_socket = std::move(bound.value());
  }

  void Send(const SocketAddress& to, const FlowPacket& packet) {
    const std::vector<std::uint8_t> bytes = EncodePacket(packet);
    std::copy(bytes.begin(), bytes.end(), m_socket->NextBuffer().begin());
    m_socket->Queue(to, bytes.size());
    m_socket->Flush();
  }

  void SendBytes(const SocketAddress& to,
                 const std::vector<std::uint8_t>& bytes) {
    std::copy(bytes.begin(), bytes.end(), m_socket->NextBuffer().begin());
    m_socket->Queue(to, bytes.size());
    m_socket->Flush();
  }

  std::vector<FlowPacket> Receive() {
    std::vector<FlowPacket> packets;
    m_socket->Receive(
        [&](const SocketAddress&, std::span<const std::uint8_t> datagram) {
          if (const auto packet = PlatformPacketCodec().Decode(datagram)) {
            packets.push_back(*packet);
          }
        });
    return packets;
  }

 private:
  std::unique_ptr<UdpSocket> m_socket;
};

/// \brief Creates the event loop before the members that need it.
struct EventLoopInitializer {
  EventLoopInitializer() { EnsureEventLoop(); }
};

/// \brief One balancer, one upstream with its agent, a store and a caller, all
/// on loopback.
class LoopbackSite {
 public:
  /// \p prepare is called before the processes start.
  explicit LoopbackSite(
      const std::function<void(LoopbackSite*)>& prepare = {}) {
    if (prepare) {
      prepare(this);
    }
    store.Put("op/config",
              R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1",)"
              R"("prefix":"/443/","kind":"safe","timeout_ms":800,)"
              R"("slo_ms":120,"service":"counter"}],"services":)"
              R"([{"name":"counter","max_conns":9,"cold_s":2.0,)"
              R"("cold_per_s":0.0}],"limits":{"idle_timeout_ms":15000}})");
    PutUpstream("ready");
    StartAgent();
    balancer.setStandardOutputFile(QProcess::nullDevice());
    balancer.start(
        kBalancerProgram,
        {"--instance=entry-1", "--zone=a",
         "--admin-address=" + FormatAddress(kBalancerAddress, kAdminPort),
         "--node-address=" + FormatAddress(kBalancerAddress, kNodePort),
         "--frontend-address=" + FormatAddress(kBalancerAddress, kPacketPort),
         "--platform-address=" + FormatAddress(kStoreAddress, store.port())});
    REQUIRE(balancer.waitForStarted());
    REQUIRE(RunUntil([&] { return IsReady(); }));
  }

  ~LoopbackSite() {
    for (QProcess* process : {&balancer, agent.get()}) {
      process->kill();
      process->waitForFinished();
    }
  }

  static std::string MakeEntry(const std::string& state) {
    return R"({"service":"counter","address":")" +
           FormatAddress(kAgentAddress, kUpstreamPort).toStdString() +
           R"(","zone":"a","version":"v1","concurrency_limit":3,"state":")" +
           state + R"(","cold_left_ms":0,"seq":1})";
  }

  void PutUpstream(const std::string& state) {
    store.Put("servers/i-1", MakeEntry(state));
  }

  /// Returns the value of a metric of the process, given with its labels; -1 if
  /// it has none.
  static double Metric(const char* address, const QByteArray& name) {
    QTcpSocket socket;
    socket.connectToHost(address, kAdminPort);
    if (!socket.waitForConnected(100)) {
      return -1;
    }
    socket.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    QByteArray answer;
    while (socket.waitForReadyRead(1000)) {
      answer += socket.readAll();
    }
    for (const QByteArray& line : answer.split('\n')) {
      const qsizetype at = line.indexOf(name + " ");
      if (at >= 0 && !line.startsWith("#")) {
        return line.mid(at + name.size() + 1).trimmed().toDouble();
      }
    }
    return -1;
  }

  void StartAgent() {
    agent = std::make_unique<QProcess>();
    agent->setStandardOutputFile(QProcess::nullDevice());
    agent->start(
        kAgentProgram,
        {"--instance=side-1", "--zone=a", "--service=counter",
         "--admin-address=" + FormatAddress(kAgentAddress, kAdminPort),
         "--node-address=" + FormatAddress(kAgentAddress, kPacketPort),
         "--outbound-address=" + FormatAddress(kAgentAddress, kOutboundPort),
         "--upstream-address=" + FormatAddress(kAgentAddress, kUpstreamPort),
         "--seed-balancers=" + FormatAddress(kBalancerAddress, kNodePort),
         "--balancer-port=" + QString::number(kNodePort)});
    REQUIRE(agent->waitForStarted());
  }

  static bool IsReady() {
    QTcpSocket socket;
    socket.connectToHost(kBalancerAddress, kAdminPort);
    if (!socket.waitForConnected(100)) {
      return false;
    }
    socket.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.waitForReadyRead(1000) && socket.readAll().contains(" 200 ");
  }

  /// Processes the packets that reached the upstream: answers SYNs and
  /// requests, and bounces packets of an unknown flow.
  void RunUpstream() {
    for (const FlowPacket& packet : upstream.Receive()) {
      FlowPacket answer;
      answer.source = packet.destination;
      answer.destination = packet.source;
      answer.ack = true;
      answer.acknowledgment = packet.sequence + 1;
      if (packet.syn) {
        answer.syn = true;
        answer.sequence = 500;
        has_flow = true;
      } else if (!has_flow) {
        answer = packet;
        answer.bounced = true;
      } else if (packet.data_bytes > 0) {
        answer.sequence = 501;
        answer.data_bytes = 20;
        ++requests;
      } else {
        continue;
      }
      upstream.Send(Address(kAgentAddress, kOutboundPort), answer);
    }
  }

  /// Sends \p packet every 200 ms, as callers do, until \p matches returns true
  /// for a packet that the caller receives. Returns whether that happens.
  bool Exchange(FlowPacket packet,
                const std::function<bool(const FlowPacket&)>& matches) {
    packet.source = {Address(kCallerAddress, 1).ipv4, 40000};
    packet.destination = kRoute;
    auto next = std::chrono::steady_clock::now();
    bool found = false;
    return RunUntil([&] {
      const auto now = std::chrono::steady_clock::now();
      if (now >= next) {
        next = now + std::chrono::milliseconds(200);
        caller.Send(Address(kBalancerAddress, kPacketPort), packet);
      }
      RunUpstream();
      for (const FlowPacket& each : caller.Receive()) {
        found |= matches(each);
      }
      return found;
    });
  }

  bool Open() {
    FlowPacket syn;
    syn.syn = true;
    syn.sequence = 100;
    return Exchange(syn, [](const FlowPacket& packet) { return packet.syn; });
  }

  bool Request(std::uint32_t number) {
    return Exchange(MakeRequestPacket(number), [](const FlowPacket& packet) {
      return packet.data_bytes == 20;
    });
  }

  static FlowPacket MakeRequestPacket(std::uint32_t number) {
    FlowPacket packet;
    packet.ack = true;
    packet.sequence = 101 + 10 * number;
    packet.acknowledgment = 501;
    packet.data_bytes = 10;
    return packet;
  }

  EventLoopInitializer event_loop;
  FakeStore store{QHostAddress(kStoreAddress)};
  QProcess balancer;
  std::unique_ptr<QProcess> agent;
  PacketSocket upstream{kAgentAddress, kUpstreamPort};
  PacketSocket caller{kCallerAddress, kPacketPort};
  bool has_flow = false;
  int requests = 0;
};

bool IsReset(const FlowPacket& packet) {
  return packet.reset && packet.source == kRoute;
}

}  // namespace

TEST_CASE("A flow survives an agent crash and a flow lost upstream is reset") {
  LoopbackSite site;
  REQUIRE(site.Open());
  REQUIRE(site.Request(1));
  site.agent->kill();
  site.agent->waitForFinished();
  site.StartAgent();
  CHECK(site.Request(2));
  site.has_flow = false;
  CHECK(site.Exchange(LoopbackSite::MakeRequestPacket(3), IsReset));
}

TEST_CASE("A draining upstream gets no new flow through the real programs") {
  LoopbackSite site;
  REQUIRE(site.Open());
  site.PutUpstream("draining");
  std::uint32_t sequence = 1000;
  const auto is_refused = [&] {
    // Each SYN has a new sequence number, so the balancer treats it as a new
    // flow.
    FlowPacket syn;
    syn.syn = true;
    syn.sequence = ++sequence;
    bool refused = false;
    return site.Exchange(syn, [&](const FlowPacket& answer) {
      refused = IsReset(answer);
      return true;
    }) && refused;
  };
  CHECK(RunUntil(is_refused));
  for (int i = 0; i < 5; ++i) {
    CHECK(is_refused());
  }
  site.PutUpstream("ready");
  CHECK(site.Open());
}

TEST_CASE("A stopping agent resets flows only if the upstream has ended") {
  LoopbackSite site;
  REQUIRE(site.Open());
  REQUIRE(site.Request(1));
  QTcpServer listener;
  SUBCASE("the upstream has ended") {
    site.agent->terminate();
    CHECK(site.Exchange(LoopbackSite::MakeRequestPacket(2), IsReset));
  }
  SUBCASE("the upstream is running") {
    REQUIRE(listener.listen(QHostAddress(kAgentAddress), kUpstreamPort));
    site.agent->terminate();
    CHECK(site.agent->waitForFinished(kExitTimeoutMs));
    site.StartAgent();
    CHECK(site.Request(2));
  }
}

// Guards against one odd entry or message that ends a process, or after which
// it no longer follows the store (LOST).
TEST_CASE("Odd entries and messages are counted and skipped by both programs") {
  constexpr std::size_t kNesting = 300'000;
  const auto put_odd_items = [&](LoopbackSite* site, const std::string& name) {
    const std::string entry = site->MakeEntry("ready");
    const auto replaced = [&](const std::string& from, const std::string& to) {
      std::string value = entry;
      value.replace(value.find(from), from.size(), to);
      return value;
    };
    const std::string nested =
        std::string(kNesting, '[') + std::string(kNesting, ']');
    site->store.Put("servers/a-" + name, std::string(kNesting, '['));
    site->store.Put("servers/b-" + name, replaced("\"v1\"", nested));
    site->store.Put("servers/c-" + name,
                    replaced("\"seq\":1", "\"seq\":1e999"));
    site->store.Put("servers/d-" + name, replaced(":21873", ":70000"));
    site->store.Put("op/other-" + name, nested);
  };
  LoopbackSite site([&](LoopbackSite* before) { put_odd_items(before, "x"); });
  CHECK(LoopbackSite::Metric(kBalancerAddress,
                             "store_items_unreadable_total") == 4);
  REQUIRE(site.Open());
  put_odd_items(&site, "y");
  CHECK(RunUntil([] {
    return LoopbackSite::Metric(kBalancerAddress,
                                "store_items_unreadable_total") == 8;
  }));
  const std::vector<std::vector<std::uint8_t>> messages = {
      std::vector<std::uint8_t>(1400, 0x91),
      std::vector<std::uint8_t>(1400, 0xdd),
      {0x93, 7, 0xc4, 1, 'a', 0xcf, 255, 255, 255, 255, 255, 255, 255, 255}};
  for (const auto& message : messages) {
    site.caller.SendBytes(Address(kBalancerAddress, kNodePort), message);
    site.caller.SendBytes(Address(kAgentAddress, kPacketPort), message);
  }
  for (const char* address : {kBalancerAddress, kAgentAddress}) {
    CHECK(RunUntil([&] {
      return LoopbackSite::Metric(address,
                                  "flow_decisions_total{decision=\"packet_"
                                  "dropped\",reason=\"unreadable_message\"}") ==
             static_cast<double>(messages.size());
    }));
  }
  // The flow goes on, and the list is still followed.
  CHECK(site.Request(1));
  site.PutUpstream("draining");
  std::uint32_t sequence = 1000;
  CHECK(RunUntil([&] {
    FlowPacket syn;
    syn.syn = true;
    syn.sequence = ++sequence;
    bool refused = false;
    return site.Exchange(syn, [&](const FlowPacket& answer) {
      refused = IsReset(answer);
      return true;
    }) && refused;
  }));
  CHECK(site.balancer.state() == QProcess::Running);
  CHECK(site.agent->state() == QProcess::Running);
}

TEST_CASE("Flow programs survive SIGHUP and exit with code 0 on SIGTERM") {
  LoopbackSite site;
  for (QProcess* process : {site.agent.get(), &site.balancer}) {
    kill(static_cast<pid_t>(process->processId()), SIGHUP);
    CHECK_FALSE(process->waitForFinished(200));
    process->terminate();
    REQUIRE(process->waitForFinished(kExitTimeoutMs));
    CHECK(process->exitStatus() == QProcess::NormalExit);
    CHECK(process->exitCode() == 0);
  }
}

TEST_CASE("The flow programs report all missing settings in one run") {
  EnsureEventLoop();
  for (const char* program : {kBalancerProgram, kAgentProgram}) {
    QProcess process;
    process.setProcessChannelMode(QProcess::MergedChannels);
    process.start(program, {"--zone="});
    REQUIRE(process.waitForFinished(kExitTimeoutMs));
    CHECK(process.exitCode() == 2);
    CHECK(process.readAll().trimmed().split('\n').size() >= 6);
  }
}

}  // namespace fireflytrestle
