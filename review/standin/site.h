// A small deployment on loopback: the project's own programs as processes, and
// the store, routers, clients and targets as stand-ins, all in one thread.
#ifndef REVIEW_STANDIN_SITE_H_
#define REVIEW_STANDIN_SITE_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net.h"
#include "store.h"

namespace standin {

constexpr std::uint16_t kPacketPort = 8172;    // datagram_addr
constexpr std::uint16_t kNodePort = 7720;      // internal_ports.0
constexpr std::uint16_t kAdminPort = 8167;     // readiness_addr
constexpr std::uint16_t kOutboundPort = 8162;  // outbound
constexpr std::uint16_t kAppPort = 8165;       // app
constexpr std::uint32_t kRouteIp = 0xC6120001;

// Writes record.txt; times are seconds since the start of traffic.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(fopen(path.c_str(), "w")) {}
  ~Record() { fclose(m_file); }
  void Begin() { m_begin = Now(); }
  void Write(const std::string& text) {
    fprintf(m_file, "%9.3f %s\n", (Now() - m_begin) / 1e3, text.c_str());
  }
  // A line that breaks the rule.
  void Broken(const std::string& text) {
    ++m_broken;
    Write("BROKEN " + text);
  }
  int broken() const { return m_broken; }

 private:
  FILE* m_file;
  double m_begin = Now();
  int m_broken = 0;
};

// A target: accepts flows, runs each request once, returns packets of flows
// that it does not hold. Listens on TCP at the same address.
class Target {
 public:
  Target(std::uint32_t ip,
         std::string service,
         std::string zone,
         Record* record)
      : service(std::move(service)), zone(std::move(zone)), m_record(record) {
    address = {ip, kAppPort};
    m_outbound = {ip, kOutboundPort};
    m_socket = Open(SOCK_DGRAM, address);
    m_listener = Open(SOCK_STREAM, address);
    m_next_seq = std::random_device()();
  }

  bool IsBound() const { return m_socket >= 0 && m_listener >= 0; }
  // Whether the target has the end of the handshake of the flow whose client
  // acknowledges `ack`.
  bool Holds(const Flow& flow, std::uint32_t ack) const {
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.open &&
           IsOwnAck(ack, found->second);
  }

  std::vector<Flow> OpenFlows() const {
    std::vector<Flow> open;
    for (const auto& [flow, state] : m_flows) {
      if (state.open) {
        open.push_back(flow);
      }
    }
    return open;
  }

  // Called with the flow of each SYN that the target takes.
  std::function<void(const Flow&)> on_opening = [](const Flow&) {};

  // Ends with all its flows. Nothing listens at its address any more.
  void Exit() {
    close(m_socket);
    close(m_listener);
    m_socket = m_listener = -1;
    m_flows.clear();
    m_jobs.clear();
  }

  void Run() {
    const double now = Now();
    if (m_socket < 0) {
      return;
    }
    for (int fd;
         (fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      close(fd);
    }
    while (auto got = Receive(m_socket)) {
      if (const auto packet = Decode(got->second)) {
        OnPacket(*packet, got->second, now);
      }
    }
    while (!m_jobs.empty() && m_jobs.front().due <= now) {
      const Job job = m_jobs.front();
      m_jobs.pop_front();
      const auto found = m_flows.find(job.flow);
      if (found != m_flows.end()) {
        State& state = found->second;
        state.answer = "answer to " + job.request;
        state.answered_seq = job.seq;
        state.answered_end =
            job.seq + static_cast<std::uint32_t>(job.request.size());
        SendAnswer(job.flow, state);
      }
    }
  }

  Address address;
  std::string service;
  std::string zone;
  // A draining target closes each flow after its next response.
  bool draining = false;

 private:
  static constexpr double kWorkMs = 20;

  struct State {
    std::uint32_t syn_seq = 0;
    std::uint32_t seq = 0;
    bool open = false;
    std::uint32_t running_seq = 0;
    std::uint32_t answered_seq = 0;
    std::uint32_t answered_end = 0;
    std::uint32_t sent = 0;
    std::string answer;
  };
  struct Job {
    double due;
    Flow flow;
    std::uint32_t seq;
    std::string request;
  };

  static bool IsOwnAck(std::uint32_t ack, const State& state) {
    return ack - state.seq <= 0x10000;
  }

  void Send(const Flow& flow, Packet packet) {
    packet.src = flow.route;
    packet.dst = flow.client;
    SendTo(m_socket, m_outbound, Encode(packet));
  }

  void SendAnswer(const Flow& flow, const State& state) {
    Send(flow, {state.seq + 1 + state.sent,
                state.answered_end,
                {},
                {},
                draining ? static_cast<std::uint8_t>(kAck | kFin) : kAck,
                0,
                state.answer});
  }

  void OnPacket(const Packet& packet,
                std::vector<std::uint8_t> bytes,
                double now) {
    const Flow flow{packet.src, packet.dst};
    if (packet.sum != KeyedSum(bytes)) {
      m_record->Write("target " + Text(address) + " got a forged packet of " +
                      Text(flow));
      return;
    }
    auto found = m_flows.find(flow);
    if ((packet.flags & kSyn) != 0) {
      if (found != m_flows.end() && found->second.syn_seq != packet.seq) {
        // A new flow of a client that uses the port again.
        m_flows.erase(found);
        found = m_flows.end();
      }
      if (found == m_flows.end()) {
        found = m_flows.emplace(flow, State()).first;
        found->second.syn_seq = packet.seq;
        found->second.seq = m_next_seq += 1000003;
        m_record->Write("target " + Text(address) + " takes the SYN of " +
                        Text(flow));
        on_opening(flow);
      }
      Send(flow,
           {found->second.seq, packet.seq + 1, {}, {}, kSyn | kAck, 0, ""});
      return;
    }
    if (found == m_flows.end() || !IsOwnAck(packet.ack, found->second)) {
      bytes[24] |= kBounced;
      bytes[25] = 0;
      SendTo(m_socket, m_outbound, bytes);
      return;
    }
    State& state = found->second;
    if (!state.open) {
      state.open = true;
      m_record->Write("target " + Text(address) + " opens " + Text(flow));
    }
    if ((packet.flags & (kFin | kRst)) != 0) {
      m_record->Write("target " + Text(address) + " closes " + Text(flow));
      if ((packet.flags & kFin) != 0) {
        Send(flow, {state.seq + 1, packet.seq + 1, {}, {}, kFin | kAck, 0, ""});
      }
      m_flows.erase(found);
      return;
    }
    if (packet.data.empty()) {
      return;
    }
    if (packet.seq == state.answered_seq && !state.answer.empty()) {
      SendAnswer(flow, state);
    } else if (packet.seq != state.running_seq) {
      state.sent += static_cast<std::uint32_t>(state.answer.size());
      state.answer.clear();
      state.running_seq = packet.seq;
      m_record->Write("target " + Text(address) + " runs " + packet.data);
      m_jobs.push_back({now + kWorkMs, flow, packet.seq, packet.data});
    }
  }

  Record* m_record;
  Address m_outbound;
  int m_socket = -1;
  int m_listener = -1;
  std::uint32_t m_next_seq;
  std::map<Flow, State> m_flows;
  std::deque<Job> m_jobs;
};

// Clients of one zone, which share an address. A flow that fails, and stays
// open otherwise, is opened again from a new port.
class Clients {
 public:
  Clients(std::uint32_t ip, std::string zone, Record* record)
      : zone(std::move(zone)), m_record(record), m_ip(ip) {
    m_socket = Open(SOCK_DGRAM, {ip, kPacketPort});
  }

  bool IsBound() const { return m_socket >= 0; }

  // Returns the balancer that the routers choose; none: the packet is lost.
  std::function<std::optional<Address>(const Flow&)> route;
  // Called when a reset arrives on a flow whose handshake is complete.
  // `ack` is the last acknowledgment of the client.
  std::function<void(const Flow&,
                     std::uint32_t ack,
                     const Address& sender,
                     const Packet&)>
      on_reset =
          [](const Flow&, std::uint32_t, const Address&, const Packet&) {};

  // Called when a reset arrives on a flow that isn't open yet.
  std::function<void(const Flow&, const Packet&)> on_refused =
      [](const Flow&, const Packet&) {};

  // Opens a flow that stays open for many requests, or one for one request.
  void Start(const Address& to, bool stays, double pause_ms = 500) {
    Attempt attempt;
    attempt.pause = pause_ms;
    attempt.flow = {{m_ip, ++m_port}, to};
    attempt.stays = stays;
    attempt.seq = std::random_device()();
    attempt.opened_at = attempt.next = Now();
    m_attempts.push_back(attempt);
  }

  // The user of an idle flow has the next request now.
  void SendNow(const Flow& flow) {
    for (Attempt& each : m_attempts) {
      if (each.flow == flow && each.open && !each.waits) {
        each.next = Now();
      }
    }
  }

  // The number of requests that were sent on the flow.
  int Requests(const Flow& flow) const {
    for (const Attempt& each : m_attempts) {
      if (each.flow == flow) {
        return each.requests;
      }
    }
    return 0;
  }

  int answered = 0;
  int failed = 0;

  void Run() {
    const double now = Now();
    while (auto got = Receive(m_socket)) {
      if (const auto packet = Decode(got->second)) {
        OnPacket(got->first, *packet, now);
      }
    }
    for (Attempt& each : m_attempts) {
      if (now >= each.next && !each.done) {
        Step(&each, now);
      }
    }
    std::vector<Attempt> again;
    std::erase_if(m_attempts, [&](const Attempt& each) {
      if (each.done && each.stays) {
        again.push_back(each);
      }
      return each.done;
    });
    for (const Attempt& each : again) {
      Start(each.flow.route, true, each.pause);
    }
  }

 private:
  static constexpr double kBudgetMs = 3000;

  struct Attempt {
    Flow flow;
    bool stays = false;
    bool open = false;
    bool waits = false;
    bool done = false;
    std::uint32_t seq = 0;
    std::uint32_t peer = 0;
    int copies = 0;
    int requests = 0;
    double opened_at = 0;
    double sent_at = 0;
    double next = 0;
    double delay = 200;
    double pause = 0;
    std::string data;
  };

  void Send(const Flow& flow, Packet packet) {
    packet.src = flow.client;
    packet.dst = flow.route;
    if (const auto balancer = route(flow)) {
      SendTo(m_socket, *balancer, Encode(packet));
    }
  }

  void Fail(Attempt* attempt, const std::string& why) {
    ++failed;
    attempt->done = true;
    m_record->Write("client " + Text(attempt->flow) + " fails: " + why);
  }

  void Step(Attempt* attempt, double now) {
    if (!attempt->open) {
      static const double at[] = {0, 200, 600, 1400};
      if (attempt->copies == 3) {
        Fail(attempt, "no SYN+ACK");
        return;
      }
      Send(attempt->flow, {attempt->seq,
                           static_cast<std::uint32_t>(attempt->copies),
                           {},
                           {},
                           kSyn,
                           0,
                           ""});
      attempt->next = attempt->opened_at + at[++attempt->copies];
      return;
    }
    if (!attempt->waits) {
      attempt->waits = true;
      attempt->sent_at = now;
      attempt->delay = 200;
      attempt->data = "request " + std::to_string(++attempt->requests) +
                      " of " + Text(attempt->flow);
      m_record->Write("client sends " + attempt->data);
    } else if (now - attempt->sent_at > kBudgetMs) {
      Fail(attempt, "no answer");
      return;
    }
    Send(attempt->flow,
         {attempt->seq, attempt->peer, {}, {}, kAck, 0, attempt->data});
    attempt->next = now + attempt->delay;
    attempt->delay = std::min(attempt->delay * 2, 1600.0);
  }

  void OnPacket(const Address& sender, const Packet& packet, double now) {
    const Flow flow{packet.dst, packet.src};
    for (Attempt& each : m_attempts) {
      if (each.flow != flow || each.done) {
        continue;
      }
      if ((packet.flags & kRst) != 0) {
        m_record->Write(
            "client " + Text(flow) + " is reset by " + Text(sender) +
            (packet.sum == 0 ? ", of the system's own" : ", of the target"));
        if (each.open) {
          on_reset(flow, each.peer, sender, packet);
        } else {
          on_refused(flow, packet);
        }
        Fail(&each, "reset");
      } else if ((packet.flags & kSyn) != 0) {
        if (!each.open) {
          each.open = true;
          each.peer = packet.seq + 1;
          ++each.seq;
          each.next = now;
          Step(&each, now);
        }
      } else if (!packet.data.empty() && each.waits &&
                 packet.ack ==
                     each.seq + static_cast<std::uint32_t>(each.data.size())) {
        ++answered;
        m_record->Write("client gets " + packet.data);
        each.peer = packet.seq + static_cast<std::uint32_t>(packet.data.size());
        each.seq += static_cast<std::uint32_t>(each.data.size());
        each.waits = false;
        each.next = now + each.pause;
        if (!each.stays || (packet.flags & kFin) != 0) {
          Send(flow, {each.seq, each.peer, {}, {}, kFin | kAck, 0, ""});
          each.done = true;
        }
      }
      return;
    }
  }

 public:
  std::string zone;

 private:
  Record* m_record;
  std::uint32_t m_ip;
  std::uint16_t m_port = 40000;
  int m_socket = -1;
  std::deque<Attempt> m_attempts;
};

// One process of the system.
struct Process {
  std::string name;
  std::string zone;
  std::uint32_t ip = 0;
  std::vector<std::string> command;
  pid_t pid = 0;
  // Of balancers: state at the routers.
  bool in_rotation = false;
  int misses = 0;
  int probe = -1;
  double probed_at = 0;
};

class Site {
 public:
  struct Member {
    std::string zone;
    std::string service;  // empty for a balancer
  };

  // TROUBLE=0 in the environment leaves the disruption out.
  const bool trouble = [] {
    const char* text = getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
  }();

  // `folder` is the one of the case, `work` a temporary one for logs.
  Site(const std::string& folder,
       const std::string& work,
       const std::vector<Member>& members)
      : record(folder + "/record.txt"), m_work(work) {
    for (int tries = 0; tries < 50 && !m_bound; ++tries) {
      m_net = 127U << 24 | (16 + std::random_device()() % 220) << 16;
      m_bound = Build(members);
    }
  }

  ~Site() {
    for (Process& each : processes) {
      Signal(&each, SIGCONT);
      Signal(&each, SIGKILL);
      if (each.pid > 0) {
        waitpid(each.pid, nullptr, 0);
      }
    }
  }

  std::uint32_t Ip(int block, std::size_t number) const {
    return m_net | static_cast<std::uint32_t>(block) << 8 |
           static_cast<std::uint32_t>(number + 1);
  }

  // Address under which the others reach an instance.
  std::function<std::uint32_t(std::uint32_t)> reached_at =
      [](std::uint32_t ip) { return ip; };
  // Called in each turn of the loop.
  std::function<void()> on_turn = [] {};

  void Spawn(Process* process) {
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((m_work + "/" + process->name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("QT_NO_GLIB", "1", 1);
      std::vector<char*> words;
      for (std::string& word : process->command) {
        words.push_back(word.data());
      }
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
    process->pid = pid;
    record.Write("start " + process->name);
  }

  // Whether a process ended that no signal of ours was to end.
  bool AnyEnded() const {
    for (const Process& each : processes) {
      if (each.pid == 0) {
        return true;
      }
    }
    return false;
  }

  // Messages that no program of ours sends, to the node ports of all processes:
  // arrays nested as deeply as a datagram allows, and numbers out of range.
  void SendOddMessages() {
    const int socket = Open(SOCK_DGRAM, {Ip(6, 1), kNodePort});
    for (const Process& each : processes) {
      const Address to{each.ip, IsBalancer(each) ? kNodePort : kPacketPort};
      SendTo(socket, to, std::vector<std::uint8_t>(1400, 0x91));
      SendTo(socket, to, std::vector<std::uint8_t>(1400, 0xdd));
      // A report request with a time of 2^64 - 1 ms.
      std::vector<std::uint8_t> request = {0x93, 7, 0xc4, 1, 'a', 0xcf};
      request.insert(request.end(), 8, 0xff);
      SendTo(socket, to, request);
    }
    close(socket);
  }

  // Another target at the address of one that has ended; its machine is another
  // one, too.
  bool Reuse(std::size_t target, const std::string& service) {
    const Target& before = *targets[target];
    auto next = std::make_unique<Target>(before.address.ip, service,
                                         before.zone, &record);
    if (!next->IsBound()) {
      return false;
    }
    targets[target] = std::move(next);
    for (Process& each : processes) {
      for (std::string& word : each.command) {
        if (each.ip == targets[target]->address.ip &&
            word.starts_with("--service=")) {
          word = "--service=" + service;
        }
      }
    }
    return true;
  }

  void Signal(Process* process, int signal) {
    if (process->pid > 0) {
      kill(process->pid, signal);
    }
  }

  Process* Find(const std::string& name) {
    for (Process& each : processes) {
      if (each.name == name) {
        return &each;
      }
    }
    return nullptr;
  }

  // Starts all processes and waits until all balancers are in rotation.
  bool Start() {
    if (!m_bound) {
      return false;
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
      PutEntry(i, "ready");
    }
    for (Process& each : processes) {
      Spawn(&each);
    }
    const double begin = Now();
    while (Now() - begin < 10000) {
      Turn();
      bool all = true;
      for (const Process& each : processes) {
        all =
            all && (each.zone.empty() || !IsBalancer(each) || each.in_rotation);
      }
      if (all) {
        Run(1000);
        record.Begin();
        return true;
      }
    }
    return false;
  }

  void Run(double ms) {
    for (const double end = Now() + ms; Now() < end;) {
      Turn();
    }
  }

  // Entry of a target as the target itself writes it.
  std::string Entry(std::size_t target,
                    const std::string& state,
                    int cold_left_ms = 0) const {
    const Target& each = *targets[target];
    return R"({"service":")" + each.service + R"(","address":")" +
           Text(Address{reached_at(each.address.ip), kAppPort}) +
           R"(","zone":")" + each.zone +
           R"(","version":"v1","concurrency_limit":3,"state":")" + state +
           R"(","cold_left_ms":)" + std::to_string(cold_left_ms) +
           R"(,"seq":4,"born":)" + std::to_string(kBorn + target) + "}";
  }

  static std::string Key(std::size_t target) {
    return "servers/i-7f3a91c" + std::to_string(target);
  }

  void PutEntry(std::size_t target,
                const std::string& state,
                int cold_left_ms = 0) {
    store->Put(Key(target), Entry(target, state, cold_left_ms));
  }

  std::optional<Address> Route(const std::string& zone, const Flow& flow) {
    std::vector<const Process*> own;
    std::vector<const Process*> ready;
    std::vector<const Process*> others;
    for (const Process& each : processes) {
      if (!IsBalancer(each)) {
        continue;
      }
      if (each.zone == zone) {
        own.push_back(&each);
      }
      if (each.in_rotation) {
        (each.zone == zone ? ready : others).push_back(&each);
      }
    }
    // Fewer than half in rotation: all of the zone; none: the nearest zones.
    if (ready.empty()) {
      ready = others;
    } else if (2 * ready.size() < own.size()) {
      ready = own;
    }
    if (ready.empty()) {
      return std::nullopt;
    }
    const std::size_t hash = std::hash<std::string>()(Text(flow));
    return Address{ready[hash % ready.size()]->ip, kPacketPort};
  }

  static bool IsBalancer(const Process& process) {
    return process.name.starts_with("front");
  }

  // The target that holds the flow, with the handshake complete; -1 for none.
  int Holder(const Flow& flow, std::uint32_t ack) const {
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (targets[i]->Holds(flow, ack)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  Record record;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Clients>> clients;
  std::vector<Process> processes;

  static constexpr std::uint64_t kBorn = 1790000000000;

 private:
  bool Build(const std::vector<Member>& members) {
    store.reset();
    targets.clear();
    clients.clear();
    processes.clear();
    std::size_t balancers = 0;
    std::set<std::string> zones;
    for (const Member& each : members) {
      balancers += each.service.empty() ? 1 : 0;
      zones.insert(each.zone);
    }
    store = std::make_unique<Store>(Ip(9, 0), 20000, balancers);
    if (!store->IsBound()) {
      return false;
    }
    m_members = members;
    std::size_t number = 0;
    for (const Member& each : members) {
      if (each.service.empty()) {
        AddProcess("front-" + each.zone + "-" + std::to_string(number), each,
                   Ip(1, number));
        ++number;
      } else {
        const std::size_t side = targets.size();
        targets.push_back(std::make_unique<Target>(Ip(2, side), each.service,
                                                   each.zone, &record));
        if (!targets.back()->IsBound()) {
          return false;
        }
        AddProcess("side-" + each.zone + "-" + std::to_string(side), each,
                   Ip(2, side));
      }
    }
    for (const std::string& zone : zones) {
      clients.push_back(
          std::make_unique<Clients>(Ip(5, clients.size()), zone, &record));
      if (!clients.back()->IsBound()) {
        return false;
      }
      clients.back()->route = [this, zone](const Flow& flow) {
        return Route(zone, flow);
      };
    }
    return true;
  }

 public:
  // Fills in the commands of the deploy file.
  void MakeCommands() {
    std::size_t reader = 0;
    std::string seeds;
    for (const Process& each : processes) {
      if (IsBalancer(each)) {
        seeds += (seeds.empty() ? "" : ",") +
                 Text(Address{reached_at(each.ip), 8166});
      }
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
      Process& each = processes[i];
      const auto at = [&](std::uint16_t port) {
        return Text(Address{each.ip, port});
      };
      if (IsBalancer(each)) {
        each.command = {"target/fireflytrestle-flowbalancer",
                        "--instance=" + each.name,
                        "--zone=" + each.zone,
                        "--admin-address=" + at(kAdminPort),
                        "--node-address=" + at(kNodePort),
                        "--frontend-address=" + at(kPacketPort),
                        "--platform-address=" +
                            Text(Address{Ip(9, 0), static_cast<std::uint16_t>(
                                                       20000 + reader++)}),
                        "--flow-lifetime-s=60",
                        "--link-mbps=1000.0"};
      } else {
        each.command = {"target/fireflytrestle-flowagent",
                        "--instance=" + each.name,
                        "--zone=" + each.zone,
                        "--admin-address=" + at(kAdminPort),
                        "--node-address=" + at(kPacketPort),
                        "--outbound-address=" + at(kOutboundPort),
                        "--upstream-address=" + at(kAppPort),
                        "--service=" + m_members[i].service,
                        "--seed-balancers=" + seeds,
                        "--balancer-port=" + std::to_string(kNodePort),
                        "--flow-lifetime-s=60",
                        "--link-mbps=1000.0"};
      }
    }
  }

 private:
  void AddProcess(const std::string& name,
                  const Member& member,
                  std::uint32_t ip) {
    Process process;
    process.name = name;
    process.zone = member.zone;
    process.ip = ip;
    processes.push_back(process);
  }

  // GET /ready twice per second; two misses take the node out of rotation.
  void Probe(Process* process) {
    const double now = Now();
    if (process->probe >= 0) {
      char buffer[256];
      const ssize_t got = recv(process->probe, buffer, sizeof(buffer) - 1, 0);
      const bool late = now - process->probed_at >= 450;
      if (got > 0 || got == 0 || (errno != EAGAIN && errno != ENOTCONN) ||
          late) {
        buffer[got > 0 ? got : 0] = 0;
        const bool ok = strstr(buffer, " 200 ") != nullptr;
        process->misses = ok ? 0 : process->misses + 1;
        const bool in = ok || (process->in_rotation && process->misses < 2);
        if (in != process->in_rotation) {
          record.Write(process->name +
                       (in ? " is in rotation" : " is out of rotation"));
        }
        process->in_rotation = in;
        close(process->probe);
        process->probe = -1;
      }
    }
    if (process->probe < 0 && now - process->probed_at >= 500) {
      process->probed_at = now;
      process->probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in raw = ToRaw({process->ip, kAdminPort});
      // On loopback a connect returns at once.
      connect(process->probe, reinterpret_cast<const sockaddr*>(&raw),
              sizeof(raw));
      fcntl(process->probe, F_SETFL, O_NONBLOCK);
      static const char request[] =
          "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
      send(process->probe, request, sizeof(request) - 1, MSG_NOSIGNAL);
    }
  }

  void Turn() {
    store->Run();
    for (const auto& each : targets) {
      each->Run();
    }
    for (const auto& each : clients) {
      each->Run();
    }
    for (Process& each : processes) {
      if (each.pid > 0 && waitpid(each.pid, nullptr, WNOHANG) == each.pid) {
        record.Write(each.name + " has ended");
        each.pid = 0;
      }
      if (IsBalancer(each)) {
        Probe(&each);
      }
    }
    on_turn();
    usleep(500);
  }

  std::string m_work;
  std::uint32_t m_net = 0;
  bool m_bound = false;
  std::vector<Member> m_members;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_SITE_H_
