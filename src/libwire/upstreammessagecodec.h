#ifndef FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGECODEC_H_
#define FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGECODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libwire/upstreammessage.h"
#include "libwire/wireerror.h"

namespace fireflytrestle {

/// Returns the msgpack encoding of \p message, without the frame's length
/// prefix.
std::vector<std::uint8_t> EncodeUpstreamMessage(const UpstreamMessage& message);

/// Decodes one whole frame body. Returns an error for invalid input and then
/// leaves \p message unchanged.
WireError DecodeUpstreamMessage(std::span<const std::uint8_t> frame,
                                UpstreamMessage* message);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_UPSTREAMMESSAGECODEC_H_
