#ifndef FIREFLYTRESTLE_LIBBASE_IDS_H_
#define FIREFLYTRESTLE_LIBBASE_IDS_H_

#include <cstdint>

namespace fireflytrestle {

// Identifiers of configuration objects. The configuration never reuses an
// identifier, so an old identifier cannot refer to a newer object.
enum class ServiceId : std::uint32_t {};
enum class TargetId : std::uint32_t {};
enum class ZoneId : std::uint16_t {};

/// Number of one published state of a document. A larger number is newer; 0
/// means that there is no document.
enum class Revision : std::uint64_t {};

/// Random number that a process draws at each start.
enum class Incarnation : std::uint64_t {};

/// Unique identity of one process of the system, set by its "instance-id".
enum class InstanceId : std::uint64_t {};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_IDS_H_
