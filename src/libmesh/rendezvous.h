#ifndef FIREFLYTRESTLE_LIBMESH_RENDEZVOUS_H_
#define FIREFLYTRESTLE_LIBMESH_RENDEZVOUS_H_

#include <cstdint>

namespace fireflytrestle {

/// Returns the rendezvous hash of \p candidate for \p hash_key; the candidate
/// with the lowest hash ranks first. The result is the same on every machine.
std::uint64_t RendezvousScore(std::uint64_t hash_key, std::uint64_t candidate);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_RENDEZVOUS_H_
