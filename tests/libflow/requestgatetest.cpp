#include "libflow/requestgate.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "libbase/manualclock.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr FlowClass kFeed{true, true, milliseconds(120), milliseconds(800)};
constexpr FlowClass kOrder{false, false, milliseconds(150), milliseconds(1000)};

RequestGate::Request Request(std::uint32_t caller,
                             const FlowClass& flow_class,
                             TimePoint arrived) {
  return {{{caller, 1}, {2, 2}}, flow_class, arrived, 0, {}};
}

/// \brief The backlog of an outage at one upstream: what came meanwhile stands
/// at the door, and requests go on to arrive at the usual rate.
struct Backlog {
  static constexpr std::uint32_t kSlots = 3;
  static constexpr milliseconds kWork{24};

  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t lost = 0;

  /// \p gated: by a gate; else in order of arrival, as the upstream would.
  void Run(bool gated) {
    ManualClock clock;
    RequestGate gate;
    gate.SetSlots(kSlots);
    std::vector<RequestGate::Request> queue;
    std::vector<std::pair<TimePoint, TimePoint>> running;
    std::uint32_t caller = 0;
    const auto arrive = [&] {
      auto request = Request(++caller, kFeed, clock.Now());
      if (gated) {
        gate.Hold(std::move(request));
      } else {
        queue.push_back(std::move(request));
      }
    };
    for (int i = 0; i < 45; ++i) {
      arrive();
    }
    for (int step = 0; step < 3000; ++step) {
      clock.Advance(milliseconds(1));
      const TimePoint now = clock.Now();
      if (step % 11 == 0) {
        arrive();
      }
      std::erase_if(running, [&](const auto& each) {
        if (now - each.first < kWork) {
          return false;
        }
        ++(now - each.second <= kFeed.latency_objective ? in_time : late);
        return true;
      });
      lost += gate.TakeExpired(now).size();
      while (running.size() < kSlots) {
        std::optional<RequestGate::Request> next;
        if (gated) {
          next = gate.Next(running.size(), now);
        } else if (!queue.empty()) {
          next = queue.front();
          queue.erase(queue.begin());
        }
        if (!next) {
          break;
        }
        running.emplace_back(now, next->arrived);
      }
    }
  }
};

}  // namespace

TEST_CASE("pattern: backlog after an outage; more answers are in time") {
  Backlog gated;
  gated.Run(true);
  Backlog in_order;
  in_order.Run(false);
  CHECK(gated.in_time > in_order.in_time);
  CHECK(gated.in_time + gated.late + gated.lost >=
        in_order.in_time + in_order.late);
  // A late answer is worth a third of one in time.
  CHECK(gated.in_time + 0.3 * static_cast<double>(gated.late) >
        in_order.in_time + 0.3 * static_cast<double>(in_order.late));
}

TEST_CASE("nothing waits while the upstream has room or is not known") {
  RequestGate gate;
  CHECK_FALSE(gate.MustWait(100));
  CHECK_FALSE(gate.IsCrowded(kFeed));
  gate.SetSlots(3);
  CHECK_FALSE(gate.MustWait(3));
  CHECK(gate.MustWait(100));
}

TEST_CASE("orders go before feeds, and the late ones last") {
  ManualClock clock;
  RequestGate gate;
  gate.SetSlots(3);
  gate.Hold(Request(1, kFeed, clock.Now()));
  clock.Advance(milliseconds(130));
  gate.Hold(Request(2, kFeed, clock.Now()));
  clock.Advance(milliseconds(10));
  gate.Hold(Request(3, kOrder, clock.Now()));
  for (const std::uint32_t expected : {3U, 2U, 1U}) {
    const auto next = gate.Next(0, clock.Now());
    REQUIRE(next);
    CHECK(next->tuple.caller.ipv4 == expected);
  }
  CHECK_FALSE(gate.Next(0, clock.Now()));
}

TEST_CASE("a request is kept no longer than its caller waits") {
  ManualClock clock;
  RequestGate gate;
  gate.SetSlots(3);
  gate.Hold(Request(1, kFeed, clock.Now()));
  clock.Advance(kFeed.timeout - milliseconds(100));
  CHECK(gate.TakeExpired(clock.Now()).empty());
  clock.Advance(milliseconds(100));
  CHECK(gate.TakeExpired(clock.Now()).size() == 1);
  CHECK(gate.size() == 0);
}

TEST_CASE("a queue that is too long for a caller's patience takes no more") {
  ManualClock clock;
  RequestGate gate;
  gate.SetSlots(2);
  std::uint32_t caller = 0;
  while (gate.HasRoom(kFeed)) {
    gate.Hold(Request(++caller, kFeed, clock.Now()));
    REQUIRE(caller < 1000);
  }
  CHECK(gate.IsCrowded(kFeed));
  // 0.6 of 800 ms for two slots at 20 ms each.
  CHECK(caller >= 40);
  CHECK(caller <= 50);
}

}  // namespace fireflytrestle
