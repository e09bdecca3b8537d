#include <doctest/doctest.h>

#include <deque>

#include "libbase/seededrandom.h"
#include "libmesh/platformreadscheduler.h"

namespace fireflytrestle {

TEST_CASE("a fleet without service contact stays within its call limit") {
  // Guards against more calls than the service can handle when every process of
  // a fleet of the design size decides by itself: after a start and with a
  // configuration, while the service is down and after it returns.
  constexpr std::size_t kBalancers = 1100;
  constexpr std::size_t kLeaves = 8600;
  constexpr int kMaxCallsPerSecond = 2000;
  for (const Revision configuration : {Revision(0), Revision(1)}) {
    TimePoint now{std::chrono::hours(1)};
    const TimePoint start = now;
    std::deque<SeededRandom> random;
    std::deque<PlatformReadScheduler> readers;
    for (std::size_t i = 0; i < kBalancers + kLeaves; ++i) {
      readers.emplace_back(&random.emplace_back(i), now);
    }
    std::deque<TimePoint> calls;
    std::size_t max_calls = 0;
    for (; now < start + std::chrono::seconds(100);
         now += std::chrono::milliseconds(100)) {
      const bool down = now < start + std::chrono::seconds(60);
      for (std::size_t i = 0; i < readers.size(); ++i) {
        std::vector<MeshAction> actions;
        readers[i].OnTick({i >= kBalancers, false, configuration, configuration,
                           kBalancers, now, start},
                          now, &actions);
        for (const MeshAction& action : actions) {
          calls.push_back(now);
          readers[i].OnResult(std::get<ReadPlatformDocument>(action).kind,
                              down
                                  ? PlatformReadScheduler::Outcome::kUnreachable
                                  : PlatformReadScheduler::Outcome::kNotNewer,
                              Revision{}, now);
        }
      }
      while (!calls.empty() && calls.front() <= now - std::chrono::seconds(1)) {
        calls.pop_front();
      }
      max_calls = std::max(max_calls, calls.size());
    }
    CHECK(max_calls <= kMaxCallsPerSecond);
    CHECK(max_calls > 0);
  }
}

}  // namespace fireflytrestle
