#include "libbase/logger.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "libbase/manualclock.h"

namespace fireflytrestle {

namespace {

class LoggerFixture {
 public:
  LoggerFixture() {
    m_output->set_pattern("%v");
    m_output->set_level(spdlog::level::info);
  }

  std::vector<nlohmann::json> Lines() {
    std::istringstream in(m_text.str());
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(in, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

  std::ostringstream m_text;
  std::shared_ptr<spdlog::logger> m_output = std::make_shared<spdlog::logger>(
      "test",
      std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text));
  ManualClock m_clock;
  Logger m_logger{{"program", "1", "bole"}, m_output, m_clock};
};

}  // namespace

TEST_CASE_FIXTURE(LoggerFixture, "Each line is one JSON object") {
  // Guards against text from peers that breaks or forges log lines.
  const std::string text = "a\"\\\n{}%v\x01\xff";
  m_logger.Write(LogLevel::kInfo, "event", text,
                 {{LogKey::kReason, text}, {LogKey::kRevision, 7U}});
  m_logger.Write(LogLevel::kDebug, "event", "below the level");
  const auto lines = Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["message"] == "a\"\\\n{}%v\x01\xEF\xBF\xBD");
  CHECK(lines[0]["reason"] == lines[0]["message"]);
  CHECK(lines[0]["revision"] == 7);
  CHECK(lines[0]["zone"] == "bole");
}

TEST_CASE_FIXTURE(LoggerFixture,
                  "Repeated lines of one event are rate-limited and counted") {
  // Guards against a log in which one frequent event hides the others.
  for (int i = 0; i < 100; ++i) {
    m_logger.Write(LogLevel::kInfo, "repeated", "text");
  }
  m_logger.Write(LogLevel::kInfo, "other", "text");
  m_clock.Advance(std::chrono::seconds(1));
  m_logger.Write(LogLevel::kInfo, "repeated", "text");
  const auto lines = Lines();
  REQUIRE(lines.size() == 12);
  CHECK(lines[10]["event"] == "other");
  CHECK(lines[11]["suppressed"] == 90);
}

}  // namespace fireflytrestle
