#ifndef FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_
#define FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace fireflytrestle {

/// \brief Writes log lines to a descriptor without ever waiting for its reader.
///
/// A line that does not fit is dropped; the next one that does is preceded by
/// the number of lines dropped.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Makes \p descriptor non-blocking; it stays open.
  explicit NonBlockingSink(int descriptor);

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  /// Writes the rest of a line that was cut. Returns whether none is left.
  bool WritePending();

  int m_descriptor;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_NONBLOCKINGSINK_H_
