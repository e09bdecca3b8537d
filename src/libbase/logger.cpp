#include "libbase/logger.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "libbase/nonblockingsink.h"
#include "libbase/timeformat.h"

namespace fireflytrestle {

namespace {

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::off;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace

const char* ToString(LogKey key) {
  switch (key) {
    case LogKey::kDocument:
      return "document";
    case LogKey::kError:
      return "error";
    case LogKey::kFlow:
      return "flow";
    case LogKey::kPeer:
      return "peer";
    case LogKey::kReason:
      return "reason";
    case LogKey::kRemedy:
      return "remedy";
    case LogKey::kReportAgeMs:
      return "report_age_ms";
    case LogKey::kRequestedMs:
      return "requested_ms";
    case LogKey::kRevision:
      return "revision";
    case LogKey::kRunning:
      return "running";
    case LogKey::kService:
      return "service";
    case LogKey::kSource:
      return "source";
    case LogKey::kState:
      return "state";
    case LogKey::kVersion:
      return "version";
    case LogKey::kWaitedMs:
      return "waited_ms";
  }
  return "unknown";
}

Logger::Logger(LogIdentity identity,
               std::shared_ptr<spdlog::logger> output,
               const Clock& clock,
               LogRateLimit limit)
    : m_identity(std::move(identity)),
      m_output(std::move(output)),
      m_clock(clock),
      m_rate_limit(limit) {}

Logger::~Logger() = default;

std::shared_ptr<spdlog::logger> Logger::StandardErrorOutput(
    const std::string& level) {
  auto output = std::make_shared<spdlog::logger>(
      "fireflytrestle", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  output->set_pattern("%v");
  output->set_level(spdlog::level::from_str(level));
  return output;
}

std::shared_ptr<spdlog::logger> Logger::NonBlockingStandardOutput(
    const std::string& level) {
  auto output = std::make_shared<spdlog::logger>(
      "fireflytrestle", std::make_shared<NonBlockingSink>(STDOUT_FILENO));
  output->set_pattern("%v");
  output->set_level(spdlog::level::from_str(level));
  return output;
}

std::pair<bool, std::uint64_t> Logger::Admit(const std::string& event) {
  const TimePoint now = m_clock.Now();
  const std::scoped_lock lock(m_mutex);
  EventLimit& limit =
      m_event_limits
          .try_emplace(event,
                       EventLimit{TokenBucket(m_rate_limit.lines_per_second,
                                              m_rate_limit.burst, now)})
          .first->second;
  if (!limit.bucket.TryTake(now)) {
    ++limit.suppressed;
    return {false, 0};
  }
  return {true, std::exchange(limit.suppressed, 0)};
}

void Logger::Write(LogLevel level,
                   const char* event,
                   const std::string& message,
                   std::initializer_list<LogField> fields) {
  if (!m_output->should_log(ToSpdlog(level))) {
    return;
  }
  const auto [admitted, suppressed] = Admit(event);
  if (!admitted) {
    return;
  }
  nlohmann::ordered_json line = {
      {"time", FormatTime(std::chrono::system_clock::now())},
      {"level", LevelName(level)},
      {"program", m_identity.program},
      {"instance", m_identity.instance},
      {"zone", m_identity.zone},
      {"event", event},
      {"message", message}};
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[ToString(field.key)] = value; },
               field.value);
  }
  if (suppressed > 0) {
    line["suppressed"] = suppressed;
  }
  // Invalid UTF-8, for example in text from a peer, is replaced; dump() would
  // throw otherwise and the line would be lost.
  m_output->log(ToSpdlog(level), "{}",
                line.dump(-1, ' ', false,
                          nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace fireflytrestle
