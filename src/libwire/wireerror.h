#ifndef FIREFLYTRESTLE_LIBWIRE_WIREERROR_H_
#define FIREFLYTRESTLE_LIBWIRE_WIREERROR_H_

namespace fireflytrestle {

/// \brief Result of decoding one datagram or frame.
enum class WireError {
  kNone,
  kTruncated,
  kMalformed,
  kUnknownKind,
  kOutOfRange,
  kTooLarge,
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_WIREERROR_H_
