#include "libbase/nonblockingsink.h"

#include <doctest/doctest.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <string>

namespace fireflytrestle {

TEST_CASE("A full log pipe does not block and dropped lines are counted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  spdlog::logger logger("test", std::make_shared<NonBlockingSink>(ends[1]));
  logger.set_pattern("%v");
  // More bytes than the pipe holds, so that a blocking write would not return.
  constexpr int kLines = 20'000;
  for (int i = 0; i < kLines; ++i) {
    logger.info("{{\"number\":{},\"text\":\"0123456789\"}}", i);
  }
  std::string text;
  std::array<char, 65536> buffer;
  const auto read_all = [&] {
    const ssize_t size = read(ends[0], buffer.data(), buffer.size());
    REQUIRE(size > 0);
    text.append(buffer.data(), static_cast<std::size_t>(size));
  };
  read_all();
  logger.info("{}", "{\"number\":\"last\"}");
  read_all();
  CHECK(text.find("\"event\":\"lines_dropped\",\"count\":") !=
        std::string::npos);
  CHECK(text.ends_with("{\"number\":\"last\"}\n"));
  // No line is truncated.
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', begin)) {
    CHECK(text[begin] == '{');
    CHECK(text[end - 1] == '}');
    begin = end + 1;
  }
  close(ends[0]);
  close(ends[1]);
}

}  // namespace fireflytrestle
