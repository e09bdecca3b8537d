#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libbase/manualclock.h"
#include "libbase/retrybudget.h"
#include "libbase/socketaddress.h"
#include "libbase/tokenbucket.h"

namespace fireflytrestle {

TEST_CASE("RetryBudget bounds retries to the share of first attempts") {
  // Guards against retries that multiply the load on a failing upstream.
  const bool passed = rc::check([] {
    ManualClock clock;
    const int attempts = *rc::gen::inRange(0, 2000);
    RetryBudget budget(0.2, 0.0, clock.Now());
    int retries = 0;
    for (int i = 0; i < attempts; ++i) {
      budget.OnFirstAttempt();
      retries += budget.TryRetry(clock.Now()) ? 1 : 0;
    }
    constexpr int kBurst = 100;
    RC_ASSERT(retries <= kBurst + attempts / 5 + 1);
  });
  CHECK(passed);
}

TEST_CASE("A full token bucket admits an event of any size") {
  // Guards against an event larger than the burst that is never admitted, such
  // as a search of many agents over a slow link.
  ManualClock clock;
  TokenBucket bucket(100.0, 25.0, clock.Now());
  CHECK(bucket.TryTake(clock.Now(), 1000.0));
  CHECK_FALSE(bucket.TryTake(clock.Now(), 1.0));
  clock.Advance(std::chrono::milliseconds(200));
  CHECK_FALSE(bucket.TryTake(clock.Now(), 1000.0));
  CHECK(bucket.TryTake(clock.Now(), 20.0));
  clock.Advance(std::chrono::milliseconds(250));
  CHECK(bucket.TryTake(clock.Now(), 1000.0));
}

TEST_CASE("ParseSocketAddress() parses the output of ToString()") {
  const bool passed = rc::check([](std::uint32_t ipv4) {
    const SocketAddress address{
        ipv4, static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536))};
    RC_ASSERT(ParseSocketAddress(ToString(address)) == address);
  });
  CHECK(passed);
}

TEST_CASE("ParseSocketAddress() rejects text that is not an address and port") {
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "localhost:80", ":80", "1.2.3:4", "127.0.0.1:80x"}) {
    CHECK_FALSE(ParseSocketAddress(text).has_value());
  }
}

}  // namespace fireflytrestle
