#ifndef FIREFLYTRESTLE_LIBBASE_LOGGER_H_
#define FIREFLYTRESTLE_LIBBASE_LOGGER_H_

#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "libbase/clock.h"
#include "libbase/logfield.h"
#include "libbase/tokenbucket.h"

namespace spdlog {
class logger;
}  // namespace spdlog

namespace fireflytrestle {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// \brief What identifies a process in its log lines.
struct LogIdentity {
  std::string program;
  std::string instance;
  std::string zone;
};

/// \brief Lines of one event that may be written.
struct LogRateLimit {
  double lines_per_second = 1.0;
  double burst = 10.0;
};

/// \brief Writes log lines, each a JSON object: time, level, program, instance,
/// zone, event, message and further fields of LogKey.
///
/// Lines of one event are limited to a burst of 10 and then one a second by
/// default; the next line written carries the number of lines left out in
/// "suppressed". May be used by all threads.
class Logger {
 public:
  /// Writes to \p output, which must write each line unchanged.
  Logger(LogIdentity identity,
         std::shared_ptr<spdlog::logger> output,
         const Clock& clock,
         LogRateLimit limit = {});
  ~Logger();

  /// Returns the output for programs: standard error. \p level is one of debug,
  /// info, warning and error.
  static std::shared_ptr<spdlog::logger> StandardErrorOutput(
      const std::string& level);

  /// Returns an output to standard output that drops lines, and counts them,
  /// while nobody reads it.
  static std::shared_ptr<spdlog::logger> NonBlockingStandardOutput(
      const std::string& level);

  /// \p event names the kind of line, such as "link_closed"; it must be a
  /// literal.
  void Write(LogLevel level,
             const char* event,
             const std::string& message,
             std::initializer_list<LogField> fields = {});

 private:
  struct EventLimit {
    TokenBucket bucket;
    std::uint64_t suppressed = 0;
  };

  /// Returns whether a line of \p event may be written, and how many were left
  /// out before it.
  std::pair<bool, std::uint64_t> Admit(const std::string& event);

  LogIdentity m_identity;
  std::shared_ptr<spdlog::logger> m_output;
  const Clock& m_clock;
  LogRateLimit m_rate_limit;
  std::mutex m_mutex;
  std::map<std::string, EventLimit> m_event_limits;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_LOGGER_H_
