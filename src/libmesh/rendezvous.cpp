#include "libmesh/rendezvous.h"

namespace fireflytrestle {

namespace {

// Finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::uint64_t RendezvousScore(std::uint64_t hash_key, std::uint64_t candidate) {
  return Mix(Mix(hash_key) ^ candidate);
}

}  // namespace fireflytrestle
