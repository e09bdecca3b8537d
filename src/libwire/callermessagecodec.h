#ifndef FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGECODEC_H_
#define FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGECODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "libwire/callermessage.h"
#include "libwire/wireerror.h"

namespace fireflytrestle {

/// Encodes \p message as one msgpack array into \p out without allocating.
/// Returns the number of bytes, or 0 if the message does not fit \p out or
/// kMaxDatagramBytes.
std::size_t EncodeCallerMessage(const CallerMessage& message,
                                std::span<std::uint8_t> out);

/// Decodes one whole datagram without allocating; bodies point into
/// \p datagram. Trailing bytes are an error. After an error, \p message may be
/// partly filled.
WireError DecodeCallerMessage(std::span<const std::uint8_t> datagram,
                              CallerMessage* message);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_CALLERMESSAGECODEC_H_
