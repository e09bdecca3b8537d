// Sockets, clock and packets that all stand-ins share.
#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstring>
#include <ctime>
#include <optional>
#include <string>
#include <vector>

namespace standin {

// Milliseconds of the steady clock.
inline double Now() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) * 1e3 +
         static_cast<double>(now.tv_nsec) / 1e6;
}

struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

inline std::string IpText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline std::string Text(const Address& address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

inline sockaddr_in ToRaw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  raw.sin_addr.s_addr = htonl(address.ip);
  return raw;
}

inline Address FromRaw(const sockaddr_in& raw) {
  return {ntohl(raw.sin_addr.s_addr), ntohs(raw.sin_port)};
}

// Returns -1 if the address is in use. TCP sockets listen.
inline int Open(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in raw = ToRaw(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 64) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void SendTo(int fd,
                   const Address& to,
                   const std::vector<std::uint8_t>& bytes) {
  const sockaddr_in raw = ToRaw(to);
  sendto(fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
}

inline std::optional<std::pair<Address, std::vector<std::uint8_t>>> Receive(
    int fd) {
  std::vector<std::uint8_t> bytes(2048);
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  const ssize_t got = recvfrom(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&raw), &size);
  if (got < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(got));
  return std::make_pair(FromRaw(raw), bytes);
}

// One end of a flow names the other by its address and port.
struct Flow {
  Address client;
  Address route;
  auto operator<=>(const Flow&) const = default;
};

inline std::string Text(const Flow& flow) {
  return Text(flow.client) + ">" + Text(flow.route);
}

constexpr std::uint8_t kRst = 2;
constexpr std::uint8_t kSyn = 4;
constexpr std::uint8_t kBounced = 8;
constexpr std::uint8_t kFin = 16;
constexpr std::uint8_t kAck = 32;
constexpr std::size_t kHead = 32;

struct Packet {
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  Address src;
  Address dst;
  std::uint8_t flags = 0;
  std::uint32_t sum = 0;
  std::string data;
};

inline void Put(std::vector<std::uint8_t>* out,
                std::size_t at,
                std::uint64_t value,
                int bytes) {
  for (int i = 0; i < bytes; ++i) {
    (*out)[at + static_cast<std::size_t>(i)] =
        static_cast<std::uint8_t>(value >> (8 * i));
  }
}

inline std::uint64_t Get(const std::vector<std::uint8_t>& in,
                         std::size_t at,
                         int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value |= static_cast<std::uint64_t>(in[at + static_cast<std::size_t>(i)])
             << (8 * i);
  }
  return value;
}

// A keyed sum over all fields except echo, pad and BOUNCED; never 0.
inline std::uint32_t KeyedSum(std::vector<std::uint8_t> bytes) {
  Put(&bytes, 20, 0x5eed5eed, 4);
  bytes[24] &= static_cast<std::uint8_t>(~kBounced);
  bytes[25] = 0;
  Put(&bytes, 28, 0, 4);
  std::uint32_t sum = 2166136261U;
  for (const std::uint8_t byte : bytes) {
    sum = (sum ^ byte) * 16777619U;
  }
  return sum | 1U;
}

inline std::vector<std::uint8_t> Encode(const Packet& packet) {
  std::vector<std::uint8_t> out(kHead + packet.data.size());
  Put(&out, 0, packet.seq, 4);
  Put(&out, 4, packet.ack, 4);
  Put(&out, 8, packet.dst.port, 2);
  Put(&out, 10, packet.dst.ip, 4);
  Put(&out, 14, packet.src.port, 2);
  Put(&out, 16, packet.src.ip, 4);
  out[24] = packet.flags;
  Put(&out, 26, packet.data.size(), 2);
  std::copy(packet.data.begin(), packet.data.end(), out.begin() + kHead);
  Put(&out, 20, KeyedSum(out), 4);
  return out;
}

inline std::optional<Packet> Decode(const std::vector<std::uint8_t>& in) {
  if (in.size() < kHead || Get(in, 26, 2) != in.size() - kHead) {
    return std::nullopt;
  }
  Packet packet;
  packet.seq = static_cast<std::uint32_t>(Get(in, 0, 4));
  packet.ack = static_cast<std::uint32_t>(Get(in, 4, 4));
  packet.dst = {static_cast<std::uint32_t>(Get(in, 10, 4)),
                static_cast<std::uint16_t>(Get(in, 8, 2))};
  packet.src = {static_cast<std::uint32_t>(Get(in, 16, 4)),
                static_cast<std::uint16_t>(Get(in, 14, 2))};
  packet.sum = static_cast<std::uint32_t>(Get(in, 20, 4));
  packet.flags = in[24];
  packet.data.assign(in.begin() + kHead, in.end());
  return packet;
}

}  // namespace standin

#endif  // REVIEW_STANDIN_NET_H_
