#ifndef FIREFLYTRESTLE_BENCH_ALLOCATIONCOUNTER_H_
#define FIREFLYTRESTLE_BENCH_ALLOCATIONCOUNTER_H_

#include <cstdint>
#include <cstdlib>
#include <new>

// Counts allocations by replacing the global operator new. Include this header
// in only one source file of a program. The operators are not inlined, because
// GCC reports an inlined malloc or free as a mismatch of allocation functions.

namespace fireflytrestle {

/// Calls of operator new since the start of the program.
inline std::uint64_t g_allocations = 0;

}  // namespace fireflytrestle

[[gnu::noinline]] void* operator new(std::size_t size) {
  ++fireflytrestle::g_allocations;
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

#endif  // FIREFLYTRESTLE_BENCH_ALLOCATIONCOUNTER_H_
