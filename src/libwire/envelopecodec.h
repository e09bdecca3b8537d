#ifndef FIREFLYTRESTLE_LIBWIRE_ENVELOPECODEC_H_
#define FIREFLYTRESTLE_LIBWIRE_ENVELOPECODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "libwire/envelope.h"
#include "libwire/wireerror.h"

namespace fireflytrestle {

/// Encodes \p envelope as one msgpack array into \p out without allocating.
/// Returns the number of bytes, or 0 if \p out is too small or the payload is
/// longer than kMaxDatagramBytes.
std::size_t EncodeEnvelope(const Envelope& envelope,
                           std::span<std::uint8_t> out);

/// Decodes one whole datagram without allocating; the payload points into
/// \p datagram. Trailing bytes are an error. After an error, \p envelope may be
/// partly filled.
WireError DecodeEnvelope(std::span<const std::uint8_t> datagram,
                         Envelope* envelope);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_ENVELOPECODEC_H_
