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

/// \brief Fields that identify the process in its log lines.
struct LogIdentity {
  std::string program;
  std::string instance;
  std::string zone;
};

/// \brief Rate limit for the log lines of each event.
struct LogRateLimit {
  double lines_per_second = 1.0;
  double burst = 10.0;
};

/// \brief Writes log lines as JSON objects with time, level, program, instance,
/// zone, event, message and further fields named by LogKey.
///
/// The lines of each event are rate-limited, by default to a burst of 10 and
/// then one per second. The next line written contains the number of lines left
/// out in "suppressed". Thread-safe.
class Logger {
 public:
  /// Writes to \p output, whose pattern must write each line unchanged.
  Logger(LogIdentity identity,
         std::shared_ptr<spdlog::logger> output,
         const Clock& clock,
         LogRateLimit limit = {});
  ~Logger();

  /// Returns an output to standard error. \p level is the lowest level written:
  /// debug, info, warning or error.
  static std::shared_ptr<spdlog::logger> StandardErrorOutput(
      const std::string& level);

  /// Returns an output to standard output that drops and counts lines, instead
  /// of blocking, while standard output is not read.
  static std::shared_ptr<spdlog::logger> NonBlockingStandardOutput(
      const std::string& level);

  /// \p event is the kind of line, such as "link_closed". It must be a string
  /// literal, because the rate limit of each event is kept while the logger
  /// exists.
  void Write(LogLevel level,
             const char* event,
             const std::string& message,
             std::initializer_list<LogField> fields = {});

 private:
  struct EventLimit {
    TokenBucket bucket;
    std::uint64_t suppressed = 0;
  };

  /// Returns whether a line of \p event may be written, and how many lines of
  /// the event were left out since the last one written.
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
