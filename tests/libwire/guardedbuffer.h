#ifndef FIREFLYTRESTLE_TESTS_LIBWIRE_GUARDEDBUFFER_H_
#define FIREFLYTRESTLE_TESTS_LIBWIRE_GUARDEDBUFFER_H_

#include <sys/mman.h>

#include <algorithm>
#include <cstdint>
#include <span>

namespace fireflytrestle {

/// \brief Stores bytes directly before an inaccessible page, so that a read
/// past their end crashes the test even without sanitizers.
class GuardedBuffer {
 public:
  GuardedBuffer()
      : m_pages(static_cast<std::uint8_t*>(mmap(nullptr,
                                                kBytes + kPageBytes,
                                                PROT_READ | PROT_WRITE,
                                                MAP_PRIVATE | MAP_ANONYMOUS,
                                                -1,
                                                0))) {
    mprotect(m_pages + kBytes, kPageBytes, PROT_NONE);
  }
  ~GuardedBuffer() { munmap(m_pages, kBytes + kPageBytes); }
  GuardedBuffer(const GuardedBuffer&) = delete;
  GuardedBuffer& operator=(const GuardedBuffer&) = delete;

  /// Returns a copy of \p bytes, at most kBytes, that ends at the guard page.
  std::span<const std::uint8_t> Copy(std::span<const std::uint8_t> bytes) {
    std::uint8_t* begin = m_pages + kBytes - bytes.size();
    std::copy(bytes.begin(), bytes.end(), begin);
    return {begin, bytes.size()};
  }

 private:
  static constexpr std::size_t kPageBytes = 65536;
  static constexpr std::size_t kBytes = 2 * kPageBytes;

  std::uint8_t* m_pages;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBWIRE_GUARDEDBUFFER_H_
