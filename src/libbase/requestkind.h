#ifndef FIREFLYTRESTLE_LIBBASE_REQUESTKIND_H_
#define FIREFLYTRESTLE_LIBBASE_REQUESTKIND_H_

#include <cstdint>

namespace fireflytrestle {

/// \brief How a request is answered.
enum class RequestKind : std::uint8_t {
  /// One short request with one short answer.
  kOrder = 1,
  /// A stream of numbered events that lasts until one side ends it.
  kFeed = 2,
  /// A request with a large answer.
  kDocument = 3,
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_REQUESTKIND_H_
