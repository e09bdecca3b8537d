#include "site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace standin {

namespace {

constexpr std::size_t kHead = 32;
constexpr Ms kProbeInterval{500};
constexpr Ms kProbeTimeout{300};
constexpr Ms kFirstRetransmission{200};
constexpr Ms kMaxRetransmission{1600};
constexpr std::size_t kPage = 50;

template <typename T>
void Put(std::string* out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out->push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
}

template <typename T>
T Get(const std::string& in, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(
        static_cast<T>(static_cast<std::uint8_t>(in[offset + i])) << (8 * i));
  }
  return value;
}

sockaddr_in Raw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  raw.sin_addr.s_addr = htonl(address.ip);
  return raw;
}

int Socket(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in raw = Raw(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 64) != 0)) {
    std::fprintf(stderr, "cannot bind %s: %s\n", Text(address).c_str(),
                 std::strerror(errno));
    std::exit(2);
  }
  return fd;
}

bool IsFree(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = Raw(address);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0;
  close(fd);
  return is_free;
}

void SendTo(int fd, const Address& to, const std::string& bytes) {
  const sockaddr_in raw = Raw(to);
  [[maybe_unused]] const ssize_t sent =
      sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
}

std::optional<std::string> Receive(int fd, Address* sender) {
  char buffer[2048];
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  const ssize_t count = recvfrom(fd, buffer, sizeof(buffer), MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr*>(&raw), &size);
  if (count < 0) {
    return std::nullopt;
  }
  if (sender != nullptr) {
    *sender = {ntohl(raw.sin_addr.s_addr), ntohs(raw.sin_port)};
  }
  return std::string(buffer, static_cast<std::size_t>(count));
}

std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t block = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      block = block << 8 |
              (i + j < in.size() ? static_cast<std::uint8_t>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(j > in.size() - i ? '='
                                      : kDigits[block >> (18 - 6 * j) & 63]);
    }
  }
  return out;
}

std::string Unescape(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out.push_back(static_cast<char>(
          std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(in[i]);
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

}  // namespace

std::string Text(const Address& address) {
  return std::to_string(address.ip >> 24) + "." +
         std::to_string(address.ip >> 16 & 255) + "." +
         std::to_string(address.ip >> 8 & 255) + "." +
         std::to_string(address.ip & 255) + ":" + std::to_string(address.port);
}

std::uint32_t SumOf(const Packet& packet) {
  std::uint32_t sum = 2166136261U;
  const auto mix = [&](std::uint32_t value) {
    sum = (sum ^ value) * 16777619U;
  };
  mix(0x5eed1234U);
  mix(packet.seq);
  mix(packet.ack);
  mix(packet.from.ip);
  mix(packet.from.port);
  mix(packet.to.ip);
  mix(packet.to.port);
  mix(packet.flags & static_cast<std::uint8_t>(~kBounced));
  for (const char each : packet.data) {
    mix(static_cast<std::uint8_t>(each));
  }
  return sum | 1U;
}

std::string Encode(const Packet& packet) {
  std::string out;
  Put(&out, packet.seq);
  Put(&out, packet.ack);
  Put(&out, packet.to.port);
  Put(&out, packet.to.ip);
  Put(&out, packet.from.port);
  Put(&out, packet.from.ip);
  Put(&out, packet.sum);
  Put(&out, packet.flags);
  Put(&out, packet.pad);
  Put(&out, static_cast<std::uint16_t>(packet.data.size()));
  Put(&out, packet.echo);
  return out + packet.data;
}

std::optional<Packet> Decode(const std::string& bytes) {
  if (bytes.size() < kHead ||
      Get<std::uint16_t>(bytes, 26) != bytes.size() - kHead) {
    return std::nullopt;
  }
  Packet packet;
  packet.seq = Get<std::uint32_t>(bytes, 0);
  packet.ack = Get<std::uint32_t>(bytes, 4);
  packet.to = {Get<std::uint32_t>(bytes, 10), Get<std::uint16_t>(bytes, 8)};
  packet.from = {Get<std::uint32_t>(bytes, 16), Get<std::uint16_t>(bytes, 14)};
  packet.sum = Get<std::uint32_t>(bytes, 20);
  packet.flags = Get<std::uint8_t>(bytes, 24);
  packet.pad = Get<std::uint8_t>(bytes, 25);
  packet.echo = Get<std::uint32_t>(bytes, 28);
  packet.data = bytes.substr(kHead);
  return packet;
}

// ---- Store

Store::Store(const Address& address)
    : m_listener(Socket(SOCK_STREAM, address)) {}

void Store::Put(const std::string& key, const std::string& value) {
  m_items[key] = {value, false, ++m_revision};
}

void Store::Remove(const std::string& key) {
  m_items[key] = {"", true, ++m_revision};
}

std::string Store::ItemJson(const std::string& key, const Item& item) {
  const std::string revision = std::to_string(item.revision);
  if (item.removed) {
    return R"({"key":")" + key + R"(","revision":)" + revision +
           R"(,"removed":true})";
  }
  return R"({"key":")" + key + R"(","value":")" + Base64(item.value) +
         R"(","revision":)" + revision + R"(,"create_revision":)" + revision +
         R"(,"lease":0})";
}

std::string Store::Json(const std::string& name,
                        const std::vector<std::string>& items,
                        bool more) const {
  std::string list;
  for (const std::string& item : items) {
    list += (list.empty() ? "" : ",") + item;
  }
  return "{\"" + name + "\":[" + list + "]" +
         (name == "items"
              ? std::string(R"(,"has_more":)") + (more ? "true" : "false")
              : "") +
         R"(,"as_of":)" + std::to_string(m_revision) + "}";
}

void Store::Answer(Connection* connection, const std::string& body) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  std::size_t done = 0;
  while (done < answer.size()) {
    const ssize_t sent = send(connection->fd, answer.data() + done,
                              answer.size() - done, MSG_NOSIGNAL);
    if (sent > 0) {
      done += static_cast<std::size_t>(sent);
    } else if (errno != EAGAIN) {
      return;
    }
  }
}

bool Store::Serve(Connection* connection) {
  char buffer[4096];
  for (;;) {
    const ssize_t count = recv(connection->fd, buffer, sizeof(buffer), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      return false;
    }
    if (count < 0) {
      break;
    }
    connection->in.append(buffer, static_cast<std::size_t>(count));
  }
  const Time now = Clock::now();
  if (connection->watching && !m_silent) {
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(connection->prefix) &&
          item.revision > connection->after) {
        events.emplace_back(item.revision, ItemJson(key, item));
      }
    }
    if (events.empty() && now < connection->until) {
      return true;
    }
    std::sort(events.begin(), events.end());
    std::vector<std::string> texts;
    for (const auto& event : events) {
      texts.push_back(event.second);
    }
    connection->watching = false;
    Answer(connection, Json("events", texts, false));
  }
  const std::size_t end = connection->in.find("\r\n\r\n");
  if (connection->watching || end == std::string::npos || m_silent) {
    return true;
  }
  const std::size_t first = connection->in.find(' ');
  const std::string target = connection->in.substr(
      first + 1, connection->in.find(' ', first + 1) - first - 1);
  connection->in.erase(0, end + 4);
  ++m_reads;
  auto query = Query(target);
  if (target.starts_with("/kv-watch")) {
    connection->watching = true;
    connection->prefix = query["prefix"];
    connection->after = std::strtoull(query["after"].c_str(), nullptr, 10);
    connection->until = now + Ms(std::atoi(query["wait_ms"].c_str()));
    return true;
  }
  std::vector<std::string> items;
  bool more = false;
  for (const auto& [key, item] : m_items) {
    if (item.removed || !key.starts_with(query["prefix"]) ||
        key <= query["after"]) {
      continue;
    }
    if (items.size() == kPage) {
      more = true;
      break;
    }
    items.push_back(ItemJson(key, item));
  }
  Answer(connection, Json("items", items, more));
  return true;
}

void Store::Step() {
  for (int fd = 0; fd >= 0;) {
    fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      m_connections.push_back(std::make_unique<Connection>());
      m_connections.back()->fd = fd;
    }
  }
  std::erase_if(m_connections, [this](const auto& connection) {
    if (Serve(connection.get())) {
      return false;
    }
    close(connection->fd);
    return true;
  });
}

// ---- Target

Target::Target(Site* site,
               std::size_t number,
               std::string service,
               std::string zone)
    : m_site(site),
      m_number(number),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_app(site->At(2, number, site->port_app)),
      m_outbound(site->At(2, number, site->port_outbound)) {}

Target::~Target() = default;

void Target::Start() {
  m_udp = Socket(SOCK_DGRAM, m_app);
  m_tcp = Socket(SOCK_STREAM, m_app);
  m_born = m_site->NowMs() + static_cast<std::uint64_t>(clock_ahead.count());
  m_id =
      "i-" + std::to_string(m_number) + "-" + std::to_string(m_born % 100000);
  m_site->Record("target of machine " + std::to_string(m_number) +
                 " starts, born " + std::to_string(m_born));
}

void Target::End() {
  m_site->Record("target of machine " + std::to_string(m_number) + " ends");
  close(m_udp);
  close(m_tcp);
  for (const int fd : m_checks) {
    close(fd);
  }
  m_checks.clear();
  m_udp = -1;
  m_tcp = -1;
  m_flows.clear();
  m_jobs.clear();
}

std::string Target::Entry(bool draining) const {
  return R"({"service":")" + m_service + R"(","address":")" + Text(m_app) +
         R"(","zone":")" + m_zone +
         R"(","version":"v1","concurrency_limit":2,"state":")" +
         (draining ? "draining" : "ready") + R"(","cold_left_ms":)" +
         std::to_string(cold_left_ms) + R"(,"seq":1,"born":)" +
         std::to_string(m_born) + "}";
}

bool Target::Holds(const Tuple& tuple) const {
  const auto flow = m_flows.find(tuple);
  return flow != m_flows.end() && flow->second.open;
}

std::size_t Target::open_flows() const {
  return static_cast<std::size_t>(
      std::count_if(m_flows.begin(), m_flows.end(),
                    [](const auto& each) { return each.second.open; }));
}

void Target::Send(const Packet& packet) {
  Packet sent = packet;
  if ((sent.flags & kBounced) == 0) {
    sent.sum = SumOf(sent);
  }
  SendTo(m_udp, m_outbound, Encode(sent));
}

void Target::OnPacket(Packet packet) {
  if (packet.sum != SumOf(packet)) {
    ++m_site->altered;
    m_site->Record("target of machine " + std::to_string(m_number) +
                   " got an altered packet");
    return;
  }
  const Tuple tuple{packet.from, packet.to};
  const auto known = m_flows.find(tuple);
  Packet answer;
  answer.from = packet.to;
  answer.to = packet.from;
  answer.flags = kAck;
  if ((packet.flags & kSyn) != 0) {
    Flow& flow = m_flows[tuple];
    if (flow.isn == 0 || flow.client_next != packet.seq + 1) {
      flow = {};
      flow.isn = m_site->Random() | 1U;
      flow.seq = flow.isn + 1;
      flow.client_next = packet.seq + 1;
    }
    answer.flags = kSyn | kAck;
    answer.seq = flow.isn;
    answer.ack = flow.client_next;
    Send(answer);
    return;
  }
  // The packets of a flow acknowledge a number that this target has sent.
  const bool held =
      known != m_flows.end() && packet.ack - known->second.isn - 1 <=
                                    known->second.seq - known->second.isn;
  if (m_site->on_target_packet) {
    m_site->on_target_packet(m_number, packet, held);
  }
  if (!held) {
    packet.flags |= kBounced;
    packet.pad = 0;
    Send(packet);
    return;
  }
  Flow& flow = known->second;
  if (!flow.open) {
    flow.open = true;
    flow.opened = Clock::now();
    m_site->Record("flow of " + Text(tuple.first) + " opens at machine " +
                   std::to_string(m_number));
  }
  if ((packet.flags & (kRst | kFin)) != 0) {
    m_flows.erase(known);
    return;
  }
  if (flow.answered &&
      packet.ack - flow.last_answer_seq >= flow.last_answer.size()) {
    flow.answered = false;
  }
  if (packet.data.empty()) {
    return;
  }
  answer.ack = flow.client_next;
  answer.seq = flow.seq;
  if (packet.seq == flow.client_next) {
    flow.client_next += static_cast<std::uint32_t>(packet.data.size());
    m_site->Record("machine " + std::to_string(m_number) + " runs " +
                   packet.data.substr(0, packet.data.find(' ')));
    m_jobs.push_back({Clock::now() + work, tuple, "answer to " + packet.data});
  }
  answer.ack = flow.client_next;
  Send(answer);
}

void Target::Step() {
  if (m_udp < 0) {
    return;
  }
  while (const auto bytes = Receive(m_udp, nullptr)) {
    if (auto packet = Decode(*bytes)) {
      OnPacket(std::move(*packet));
    }
  }
  const Time now = Clock::now();
  while (!m_jobs.empty() && m_jobs.front().done <= now) {
    const Job job = m_jobs.front();
    m_jobs.pop_front();
    const auto flow = m_flows.find(job.tuple);
    if (flow != m_flows.end()) {
      Flow& each = flow->second;
      each.answered = true;
      each.last_answer = job.answer;
      each.last_answer_seq = each.seq;
      each.seq += static_cast<std::uint32_t>(job.answer.size());
      each.answer_sends = 0;
      each.answer_sent = {};
    }
  }
  for (auto& [tuple, flow] : m_flows) {
    const Ms wait = std::min(
        kFirstRetransmission * (1 << std::max(0, flow.answer_sends - 1)),
        kMaxRetransmission);
    if (flow.answered && flow.answer_sends < 9 &&
        (flow.answer_sends == 0 || now - flow.answer_sent >= wait)) {
      ++flow.answer_sends;
      flow.answer_sent = now;
      Packet answer;
      answer.from = tuple.second;
      answer.to = tuple.first;
      answer.flags = kAck;
      answer.seq = flow.last_answer_seq;
      answer.ack = flow.client_next;
      answer.data = flow.last_answer;
      Send(answer);
    }
  }
  for (int fd = 0; fd >= 0;) {
    fd = accept4(m_tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      m_checks.push_back(fd);
    }
  }
  std::erase_if(m_checks, [](int fd) {
    char buffer[1024];
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count < 0 && errno == EAGAIN) {
      return false;
    }
    if (count > 0) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      [[maybe_unused]] const ssize_t sent =
          send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(fd);
    return true;
  });
}

// ---- Site

Site::Site(const std::string& programs,
           const std::string& work,
           const std::string& record)
    : m_programs(programs),
      m_work(work),
      m_record(std::fopen(record.c_str(), "w")),
      m_began(Clock::now()),
      m_random(std::random_device{}()) {
  if (m_record == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", record.c_str());
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  m_net = 127U << 24 | (20 + Random() % 200) << 16;
  // Ports below the range that the system gives to connections.
  constexpr std::uint16_t kPorts = 6;
  std::uint16_t first = 0;
  bool are_free = false;
  for (int tries = 0; tries < 100 && !are_free; ++tries) {
    first = static_cast<std::uint16_t>(12000 + Random() % 15000);
    are_free = true;
    for (std::uint16_t i = 0; i < kPorts; ++i) {
      const Address address = At(1, 0, static_cast<std::uint16_t>(first + i));
      are_free = are_free && IsFree(SOCK_STREAM, address) &&
                 IsFree(SOCK_DGRAM, address);
    }
  }
  port_packet = first;
  port_node = static_cast<std::uint16_t>(first + 1);
  port_admin = static_cast<std::uint16_t>(first + 2);
  port_app = static_cast<std::uint16_t>(first + 3);
  port_outbound = static_cast<std::uint16_t>(first + 4);
  port_store = static_cast<std::uint16_t>(first + 5);
  route = At(9, 0, 8443);
  m_store = std::make_unique<Store>(At(4, 0, port_store));
}

Site::~Site() {
  for (const auto& balancer : m_balancers) {
    if (IsRunning(&balancer->process)) {
      kill(balancer->process.pid, SIGCONT);
      kill(balancer->process.pid, SIGKILL);
      waitpid(balancer->process.pid, nullptr, 0);
    }
  }
  for (const auto& machine : m_machines) {
    if (IsRunning(&machine->agent)) {
      kill(machine->agent.pid, SIGCONT);
      kill(machine->agent.pid, SIGKILL);
      waitpid(machine->agent.pid, nullptr, 0);
    }
  }
  std::fclose(m_record);
}

Address Site::At(int block, std::size_t number, std::uint16_t port) const {
  return {m_net | static_cast<std::uint32_t>(block) << 8 |
              static_cast<std::uint32_t>(number + 1),
          port};
}

std::uint64_t Site::NowMs() const {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void Site::Record(const std::string& line) {
  const auto at =
      std::chrono::duration_cast<Ms>(Clock::now() - m_began).count();
  std::fprintf(m_record, "%7.3f %s\n", static_cast<double>(at) / 1000.0,
               line.c_str());
  std::fflush(m_record);
}

std::size_t Site::AddBalancer(const std::string& zone) {
  auto balancer = std::make_unique<Balancer>();
  const std::size_t number = m_balancers.size();
  balancer->zone = zone;
  balancer->ip = At(1, number, 0).ip;
  balancer->process.name = "balancer-" + std::to_string(number);
  balancer->process.arguments = {
      "fireflytrestle-flowbalancer",
      "--instance=" + balancer->process.name,
      "--zone=" + zone,
      "--admin-address=" + Text(At(1, number, port_admin)),
      "--node-address=" + Text(At(1, number, port_node)),
      "--frontend-address=" + Text(At(1, number, port_packet)),
      "--platform-address=" + Text(At(4, 0, port_store)),
      "--flow-lifetime-s=60",
      "--link-mbps=1000"};
  m_balancers.push_back(std::move(balancer));
  if (!m_client_sockets.contains(zone)) {
    const Address address = At(3, m_client_sockets.size(), port_packet);
    m_client_sockets[zone] = Socket(SOCK_DGRAM, address);
    m_client_ips[zone] = address.ip;
  }
  return number;
}

std::size_t Site::AddMachine(const std::string& service,
                             const std::string& zone) {
  auto machine = std::make_unique<Machine>();
  const std::size_t number = m_machines.size();
  machine->target = std::make_unique<Target>(this, number, service, zone);
  machine->agent.name = "agent-" + std::to_string(number);
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(m_balancers.size(), 3);
       ++i) {
    seeds += (seeds.empty() ? "" : ",") + Text(At(1, i, port_admin));
  }
  machine->agent.arguments = {
      "fireflytrestle-flowagent",
      "--instance=" + machine->agent.name,
      "--zone=" + zone,
      "--admin-address=" + Text(At(2, number, port_admin)),
      "--node-address=" + Text(At(2, number, port_packet)),
      "--outbound-address=" + Text(At(2, number, port_outbound)),
      "--upstream-address=" + Text(At(2, number, port_app)),
      "--service=" + service,
      "--seed-balancers=" + seeds,
      "--balancer-port=" + std::to_string(port_node),
      "--flow-lifetime-s=60",
      "--link-mbps=1000"};
  m_machines.push_back(std::move(machine));
  return number;
}

void Site::Spawn(Process* process) {
  Record(process->name + " starts");
  ++process->starts;
  process->status = -1;
  const std::string program = m_programs + "/" + process->arguments.front();
  const std::string log = m_work + "/" + process->name + ".log";
  process->pid = fork();
  if (process->pid != 0) {
    return;
  }
  // Also ends with this program if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("QT_NO_GLIB", "1", 1);
  std::vector<char*> arguments;
  for (std::string& each : process->arguments) {
    arguments.push_back(each.data());
  }
  arguments.push_back(nullptr);
  execv(program.c_str(), arguments.data());
  _exit(127);
}

void Site::StartBalancer(std::size_t number) {
  Spawn(&m_balancers[number]->process);
}

void Site::StartAgent(std::size_t number, bool first_start) {
  Process& agent = m_machines[number]->agent;
  std::erase_if(agent.arguments, [](const std::string& each) {
    return each.starts_with("--first-start=");
  });
  agent.arguments.push_back(first_start ? "--first-start=true"
                                        : "--first-start=false");
  Spawn(&agent);
}

void Site::PutEntry(std::size_t machine, bool draining) {
  const Target& target = *m_machines[machine]->target;
  m_store->Put("servers/" + target.m_id, target.Entry(draining));
  Record("entry of machine " + std::to_string(machine) +
         (draining ? ": draining" : ": ready"));
}

void Site::RemoveEntry(std::size_t machine) {
  m_store->Remove("servers/" + m_machines[machine]->target->m_id);
  Record("entry of machine " + std::to_string(machine) + " is removed");
}

void Site::PutConfiguration(int version) {
  const std::string host = Text(route).substr(0, Text(route).find(':'));
  m_store->Put(
      "op/config",
      R"({"version":)" + std::to_string(version) +
          R"(,"routes":[{"name":"feed","host":")" + host + R"(","prefix":"/)" +
          std::to_string(route.port) +
          R"(/","kind":"safe","timeout_ms":500,"slo_ms":100,)"
          R"("priority":2,"service":"order-desk","max_attempts":2}],)"
          R"("services":[{"name":"order-desk","health_path":"/health",)"
          R"("max_conns":2000,"cold_s":2.0,"cold_per_s":50.0}],)"
          R"("limits":{"idle_timeout_ms":15000}})");
}

bool Site::IsRunning(Process* process) {
  if (process->pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
    process->pid = -1;
    process->status = status;
    Record(process->name + " has ended" +
           (WIFSIGNALED(status)
                ? " by signal " + std::to_string(WTERMSIG(status))
                : " with exit code " + std::to_string(WEXITSTATUS(status))));
    return false;
  }
  return true;
}

void Site::Signal(Process* process, int signal) {
  Record("signal " + std::to_string(signal) + " to " + process->name);
  if (IsRunning(process)) {
    kill(process->pid, signal);
  }
}

bool Site::WaitForEnd(Process* process) {
  return RunUntil([&] { return !IsRunning(process); }, Ms(8000));
}

std::optional<std::size_t> Site::HolderOf(const Tuple& tuple) const {
  for (std::size_t i = 0; i < m_machines.size(); ++i) {
    if (m_machines[i]->target->Holds(tuple)) {
      return i;
    }
  }
  return std::nullopt;
}

ClientFlow* Site::Open(const std::string& zone) {
  auto flow = std::make_unique<ClientFlow>();
  flow->zone = zone;
  flow->tuple = {{m_client_ips[zone], m_next_client_port++}, route};
  flow->isn = Random();
  flow->seq = flow->isn + 1;
  flow->began = Clock::now();
  m_client_flows.push_back(std::move(flow));
  ClientFlow* opened = m_client_flows.back().get();
  Packet syn;
  syn.flags = kSyn;
  syn.seq = opened->isn;
  SendClient(*opened, syn);
  return opened;
}

void Site::Request(ClientFlow* flow) {
  if (flow->state != ClientFlow::State::kOpen || !flow->request.empty()) {
    return;
  }
  flow->request =
      "request-" + std::to_string(++m_requests) + " " + std::string(40, 'x');
  flow->request_seq = flow->seq;
  flow->seq += static_cast<std::uint32_t>(flow->request.size());
  flow->request_began = Clock::now();
  flow->wait = kFirstRetransmission;
  flow->sent = flow->request_began;
  Packet packet;
  packet.flags = kAck;
  packet.seq = flow->request_seq;
  packet.ack = flow->ack;
  packet.data = flow->request;
  SendClient(*flow, packet);
}

void Site::Forget(ClientFlow* flow) {
  flow->state = ClientFlow::State::kEnded;
  flow->end = "given up";
}

void Site::SendClient(const ClientFlow& flow, const Packet& packet) {
  // The routers select by a hash among the nodes of the zone in rotation, else
  // among those of the others.
  std::vector<const Balancer*> nodes;
  std::size_t of_zone = 0;
  for (const auto& each : m_balancers) {
    of_zone += each->zone == flow.zone ? 1 : 0;
    if (each->zone == flow.zone && each->in_rotation) {
      nodes.push_back(each.get());
    }
  }
  if (!nodes.empty() && 2 * nodes.size() < of_zone) {
    nodes.clear();
    for (const auto& each : m_balancers) {
      if (each->zone == flow.zone) {
        nodes.push_back(each.get());
      }
    }
  }
  // All other zones are equally near.
  const bool is_zone_out = nodes.empty();
  for (const auto& each : m_balancers) {
    if (is_zone_out && each->in_rotation) {
      nodes.push_back(each.get());
    }
  }
  if (nodes.empty()) {
    nodes.push_back(m_balancers.front().get());
  }
  std::uint32_t hash =
      flow.tuple.first.ip * 2654435761U + flow.tuple.first.port;
  hash = (hash ^ hash >> 15) * 2246822519U;
  const Balancer& node = *nodes[hash % nodes.size()];
  Packet sent = packet;
  sent.from = flow.tuple.first;
  sent.to = flow.tuple.second;
  sent.sum = SumOf(sent);
  SendTo(m_client_sockets[flow.zone], {node.ip, port_packet}, Encode(sent));
}

void Site::OnClientPacket(const Packet& packet, Address sender) {
  const auto position = std::find_if(
      m_client_flows.begin(), m_client_flows.end(),
      [&](const auto& each) { return each->tuple.first == packet.to; });
  if (position == m_client_flows.end()) {
    return;
  }
  ClientFlow* flow = position->get();
  if (flow->state == ClientFlow::State::kEnded) {
    return;
  }
  const bool is_own_reset =
      (packet.flags & kRst) != 0 && packet.sum == 0 && packet.data.empty();
  if (is_own_reset) {
    const std::uint32_t distance =
        std::min(packet.seq - flow->ack, flow->ack - packet.seq);
    if (flow->state == ClientFlow::State::kOpen && distance > 76800) {
      return;
    }
    ++flow->resets;
    Record("reset of the system reaches the client's flow " +
           Text(flow->tuple.first) + " from " + Text(sender));
    if (on_reset) {
      on_reset(flow, packet, sender);
    }
    flow->state = ClientFlow::State::kEnded;
    flow->end = "reset";
    return;
  }
  if (packet.sum != SumOf(packet)) {
    ++altered;
    Record("client's flow " + Text(flow->tuple.first) +
           " got an altered packet");
    return;
  }
  if ((packet.flags & kRst) != 0) {
    flow->state = ClientFlow::State::kEnded;
    flow->end = "reset by target";
    return;
  }
  if ((packet.flags & kSyn) != 0) {
    if (flow->state == ClientFlow::State::kOpening) {
      flow->state = ClientFlow::State::kOpen;
      flow->ack = packet.seq + 1;
      Packet ack;
      ack.flags = kAck;
      ack.seq = flow->seq;
      ack.ack = flow->ack;
      SendClient(*flow, ack);
    }
    return;
  }
  if (packet.data.empty()) {
    return;
  }
  if (packet.seq == flow->ack) {
    flow->ack += static_cast<std::uint32_t>(packet.data.size());
    if (!flow->request.empty() && packet.data == "answer to " + flow->request) {
      Record("answer to " + flow->request.substr(0, flow->request.find(' ')));
      ++flow->answers;
      flow->request.clear();
    }
  }
  Packet ack;
  ack.flags = kAck;
  ack.seq = flow->seq;
  ack.ack = flow->ack;
  SendClient(*flow, ack);
}

void Site::StepClients() {
  for (const auto& [zone, fd] : m_client_sockets) {
    Address sender;
    while (const auto bytes = Receive(fd, &sender)) {
      if (const auto packet = Decode(*bytes)) {
        OnClientPacket(*packet, sender);
      }
    }
  }
  const Time now = Clock::now();
  for (const auto& flow : m_client_flows) {
    if (flow->state == ClientFlow::State::kOpening) {
      const Clock::duration age = now - flow->began;
      if (age >= Ms(1400)) {
        flow->state = ClientFlow::State::kEnded;
        flow->end = "not opened";
      } else if ((flow->copies == 0 && age >= Ms(200)) ||
                 (flow->copies == 1 && age >= Ms(600))) {
        Packet syn;
        syn.flags = kSyn;
        syn.seq = flow->isn;
        syn.ack = static_cast<std::uint32_t>(++flow->copies);
        SendClient(*flow, syn);
      }
    } else if (flow->state == ClientFlow::State::kOpen &&
               !flow->request.empty() && now - flow->sent >= flow->wait) {
      flow->sent = now;
      flow->wait = std::min(flow->wait * 2, kMaxRetransmission);
      Packet packet;
      packet.flags = kAck;
      packet.seq = flow->request_seq;
      packet.ack = flow->ack;
      packet.data = flow->request;
      SendClient(*flow, packet);
    }
  }
}

void Site::StepProbes() {
  const Time now = Clock::now();
  for (const auto& each : m_balancers) {
    Balancer& node = *each;
    const auto finish = [&](bool ready) {
      close(node.probe);
      node.probe = -1;
      node.misses = ready ? 0 : node.misses + 1;
      const bool was = node.in_rotation;
      node.in_rotation = ready || (node.in_rotation && node.misses < 2);
      if (was != node.in_rotation) {
        Record(node.process.name +
               (node.in_rotation ? " is in rotation" : " is out of rotation"));
      }
    };
    if (node.probe < 0 && now - node.probe_began >= kProbeInterval) {
      node.probe_began = now;
      node.probe_answer.clear();
      // A connection on loopback is accepted or refused at once.
      node.probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in raw = Raw({node.ip, port_admin});
      const std::string request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
      if (connect(node.probe, reinterpret_cast<const sockaddr*>(&raw),
                  sizeof(raw)) != 0 ||
          send(node.probe, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        finish(false);
        continue;
      }
      fcntl(node.probe, F_SETFL, O_NONBLOCK);
    }
    if (node.probe >= 0) {
      char buffer[1024];
      const ssize_t count = recv(node.probe, buffer, sizeof(buffer), 0);
      if (count > 0) {
        node.probe_answer.append(buffer, static_cast<std::size_t>(count));
        if (node.probe_answer.find("\r\n") != std::string::npos) {
          finish(node.probe_answer.find(" 200 ") != std::string::npos);
        }
      } else if (count == 0 || errno != EAGAIN ||
                 now - node.probe_began >= kProbeTimeout) {
        finish(false);
      }
    }
  }
}

void Site::Step() {
  usleep(1000);
  m_store->Step();
  for (const auto& machine : m_machines) {
    machine->target->Step();
  }
  StepClients();
  StepProbes();
}

void Site::Run(Ms time) {
  RunUntil([] { return false; }, time);
}

bool Site::RunUntil(const std::function<bool()>& done, Ms limit) {
  const Time end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (done()) {
      return true;
    }
    Step();
  }
  return done();
}

}  // namespace standin
