// Stand-ins for a small site on loopback: the store, targets, clients and the
// routers of the platform, beside the real programs as separate processes. They
// behave as PROTOCOL.md says. One thread; all of it runs in Site::Run().
#ifndef REVIEW_STANDIN_2_SITE_H_
#define REVIEW_STANDIN_2_SITE_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string Text(const Address& address);

/// The address of the caller and the address that it called.
using Tuple = std::pair<Address, Address>;

struct Packet {
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  Address from;
  Address to;
  std::uint8_t flags = 0;
  std::uint8_t pad = 0;
  std::uint32_t echo = 0;
  std::uint32_t sum = 0;
  std::string data;
};
inline constexpr std::uint8_t kRst = 2;
inline constexpr std::uint8_t kSyn = 4;
inline constexpr std::uint8_t kBounced = 8;
inline constexpr std::uint8_t kFin = 16;
inline constexpr std::uint8_t kAck = 32;

std::string Encode(const Packet& packet);
std::optional<Packet> Decode(const std::string& bytes);
/// Sum over all fields that the system must not change.
std::uint32_t SumOf(const Packet& packet);

/// The platform's store, read over HTTP.
class Store {
 public:
  explicit Store(const Address& address);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// While it is silent, the store reads requests and answers none.
  void SetSilent(bool silent) { m_silent = silent; }
  void Step();
  std::uint64_t reads() const { return m_reads; }

 private:
  struct Item {
    std::string value;
    bool removed = false;
    std::uint64_t revision = 0;
  };
  struct Connection {
    int fd = -1;
    std::string in;
    bool watching = false;
    std::string prefix;
    std::uint64_t after = 0;
    Time until;
  };
  bool Serve(Connection* connection);
  void Answer(Connection* connection, const std::string& body);
  std::string Json(const std::string& name,
                   const std::vector<std::string>& items,
                   bool more) const;
  static std::string ItemJson(const std::string& key, const Item& item);
  int m_listener = -1;
  bool m_silent = false;
  std::uint64_t m_revision = 100;
  std::uint64_t m_reads = 0;
  std::map<std::string, Item> m_items;
  std::vector<std::unique_ptr<Connection>> m_connections;
};

class Site;

/// One lifetime after the other of a target on a machine.
class Target {
 public:
  struct Flow {
    std::uint32_t isn = 0;
    std::uint32_t client_next = 0;
    std::uint32_t seq = 0;
    bool open = false;
    Time opened;
    std::string last_answer;
    std::uint32_t last_request = 0;
    std::uint32_t last_answer_seq = 0;
    bool answered = false;
    Time answer_sent;
    int answer_sends = 0;
  };
  Target(Site* site, std::size_t number, std::string service, std::string zone);
  ~Target();
  void Start();
  /// Ends the process: its flows are lost, and nothing listens any more.
  void End();
  void Step();
  bool Holds(const Tuple& tuple) const;
  std::size_t open_flows() const;
  /// What the target states of itself in the store.
  std::string Entry(bool draining) const;
  /// By how much the time of day of its machine was ahead at its start.
  Ms clock_ahead{0};
  Ms work{5};
  int cold_left_ms = 0;

 private:
  friend class Site;
  void OnPacket(Packet packet);
  void Send(const Packet& packet);
  Site* m_site;
  std::size_t m_number;
  std::string m_service;
  std::string m_zone;
  Address m_app;
  Address m_outbound;
  int m_udp = -1;
  int m_tcp = -1;
  std::vector<int> m_checks;
  std::uint64_t m_born = 0;
  std::string m_id;
  std::map<Tuple, Flow> m_flows;
  struct Job {
    Time done;
    Tuple tuple;
    std::string answer;
  };
  std::deque<Job> m_jobs;
};

/// A flow of a client. Requests are sent one at a time.
struct ClientFlow {
  enum class State { kOpening, kOpen, kEnded };
  State state = State::kOpening;
  std::string zone;
  Tuple tuple;
  std::uint32_t isn = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  Time began;
  int copies = 0;
  /// The request that has no answer yet.
  std::string request;
  std::uint32_t request_seq = 0;
  Time sent;
  Ms wait{200};
  Time request_began;
  int answers = 0;
  int resets = 0;
  std::string end;
};

class Site {
 public:
  struct Process {
    std::string name;
    std::vector<std::string> arguments;
    pid_t pid = -1;
    int starts = 0;
    /// How the last process ended; -1 while it runs.
    int status = -1;
  };
  struct Balancer {
    std::string zone;
    std::uint32_t ip = 0;
    Process process;
    bool in_rotation = false;
    int misses = 0;
    int probe = -1;
    std::string probe_answer;
    Time probe_began;
  };
  struct Machine {
    std::unique_ptr<Target> target;
    Process agent;
  };

  /// Writes what is sent, answered and run to \p record.
  Site(const std::string& programs,
       const std::string& work,
       const std::string& record);
  ~Site();

  std::size_t AddBalancer(const std::string& zone);
  std::size_t AddMachine(const std::string& service, const std::string& zone);
  void StartBalancer(std::size_t number);
  void StartAgent(std::size_t number, bool first_start);
  void PutEntry(std::size_t machine, bool draining = false);
  void RemoveEntry(std::size_t machine);
  void PutConfiguration(int version);
  void Signal(Process* process, int signal);
  /// Runs the stand-ins until the process has ended; false after 8 s.
  bool WaitForEnd(Process* process);
  bool IsRunning(Process* process);
  void Run(Ms time);
  bool RunUntil(const std::function<bool()>& done, Ms limit);

  /// Opens a flow; a request may follow once it is open.
  ClientFlow* Open(const std::string& zone);
  void Request(ClientFlow* flow);
  /// Ends a flow without a word, as a client does that has given up.
  void Forget(ClientFlow* flow);
  std::vector<std::unique_ptr<ClientFlow>>& flows() { return m_client_flows; }
  /// The machine whose target holds the flow open, if one does.
  std::optional<std::size_t> HolderOf(const Tuple& tuple) const;

  void Record(const std::string& line);
  Balancer& balancer(std::size_t number) { return *m_balancers[number]; }
  Machine& machine(std::size_t number) { return *m_machines[number]; }
  std::size_t machines() const { return m_machines.size(); }
  Store& store() { return *m_store; }
  std::uint64_t NowMs() const;
  std::uint32_t Random() { return static_cast<std::uint32_t>(m_random()); }

  /// Called for each reset of the system that reaches a flow of a client.
  std::function<void(ClientFlow*, const Packet&, Address sender)> on_reset;
  /// Called for each packet that reaches a target: its machine, the packet and
  /// whether the target holds the flow.
  std::function<void(std::size_t, const Packet&, bool)> on_target_packet;
  int altered = 0;

  Address At(int block, std::size_t number, std::uint16_t port) const;
  std::uint16_t port_packet = 0, port_node = 0, port_admin = 0, port_app = 0,
                port_outbound = 0, port_store = 0;
  Address route;

 private:
  friend class Target;
  void Step();
  void StepClients();
  void StepProbes();
  void SendClient(const ClientFlow& flow, const Packet& packet);
  void OnClientPacket(const Packet& packet, Address sender);
  void Spawn(Process* process);
  std::string m_programs;
  std::string m_work;
  std::FILE* m_record;
  std::uint32_t m_net = 0;
  Time m_began;
  std::mt19937_64 m_random;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::map<std::string, int> m_client_sockets;
  std::map<std::string, std::uint32_t> m_client_ips;
  std::vector<std::unique_ptr<ClientFlow>> m_client_flows;
  std::uint16_t m_next_client_port = 1024;
  int m_requests = 0;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_2_SITE_H_
