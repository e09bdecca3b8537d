#ifndef FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_
#define FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace fireflytrestle {

/// \brief Writes log lines to a file descriptor without blocking.
///
/// If the descriptor accepts only part of a line, the rest is kept and written
/// before the next line. Lines that arrive while that rest cannot be written
/// are dropped; a line with their number precedes the next line written.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Makes \p descriptor non-blocking. The caller keeps ownership of it.
  explicit NonBlockingSink(int descriptor);

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  /// Writes as much of m_pending as possible. Returns whether all was written.
  bool WritePending();

  int m_descriptor;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_
