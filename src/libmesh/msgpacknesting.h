#ifndef FIREFLYTRESTLE_LIBMESH_MSGPACKNESTING_H_
#define FIREFLYTRESTLE_LIBMESH_MSGPACKNESTING_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace fireflytrestle {

/// Returns whether \p frame is one whole msgpack value with arrays and maps
/// nested at most \p depth levels deep. Does not recurse, so that it can
/// protect recursive readers from a stack overflow.
bool IsNestedWithin(std::span<const std::uint8_t> frame, std::size_t depth);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MSGPACKNESTING_H_
