#include "libbase/socketaddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace fireflytrestle {

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [stop, error] = std::from_chars(port_text.data(), end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return std::nullopt;
  }
  return SocketAddress{ntohl(parsed.s_addr), port};
}

std::string ToString(const SocketAddress& address) {
  const in_addr raw{htonl(address.ipv4)};
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, host, sizeof(host));
  return std::string(host) + ":" + std::to_string(address.port);
}

}  // namespace fireflytrestle
