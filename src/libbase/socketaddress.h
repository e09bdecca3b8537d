#ifndef FIREFLYTRESTLE_LIBBASE_SOCKETADDRESS_H_
#define FIREFLYTRESTLE_LIBBASE_SOCKETADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflytrestle {

/// \brief An IPv4 address and port, both in host byte order.
struct SocketAddress {
  std::uint32_t ipv4 = 0;
  std::uint16_t port = 0;

  // clang-tidy mistakes the 0 in a defaulted comparison for a null pointer.
  auto operator<=>(const SocketAddress&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// Parses text such as "127.0.0.1:9000". Returns nothing unless the text is an
/// IPv4 address with a port from 1 to 65535.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

/// Returns the text that ParseSocketAddress() parses, such as "127.0.0.1:9000".
std::string ToString(const SocketAddress& address);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_SOCKETADDRESS_H_
