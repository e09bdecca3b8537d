#include "libflow/pendingrequestqueue.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "libbase/manualclock.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

constexpr FlowClass kIdempotent{true, true, milliseconds(120),
                                milliseconds(800)};
constexpr FlowClass kNonIdempotent{false, false, milliseconds(150),
                                   milliseconds(1000)};

PendingRequestQueue::Request Request(std::uint32_t caller,
                                     const FlowClass& flow_class,
                                     TimePoint arrived) {
  return {{{caller, 1}, {2, 2}}, flow_class, arrived, 0, {}};
}

/// \brief The backlog of an outage at one upstream: requests that arrived
/// during the outage wait at the start, and further requests arrive at the
/// usual rate.
struct Backlog {
  static constexpr std::uint32_t kSlots = 3;
  static constexpr milliseconds kWork{24};

  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t lost = 0;

  /// Releases the requests by priority if \p prioritized is set, else in order
  /// of arrival, as the upstream would.
  void Run(bool prioritized) {
    ManualClock clock;
    PendingRequestQueue pending;
    pending.SetSlots(kSlots);
    std::vector<PendingRequestQueue::Request> queue;
    std::vector<std::pair<TimePoint, TimePoint>> running;
    std::uint32_t caller = 0;
    const auto arrive = [&] {
      auto request = Request(++caller, kIdempotent, clock.Now());
      if (prioritized) {
        pending.Push(std::move(request));
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
        ++(now - each.second <= kIdempotent.latency_objective ? in_time : late);
        return true;
      });
      lost += pending.TakeExpired(now).size();
      while (running.size() < kSlots) {
        std::optional<PendingRequestQueue::Request> next;
        if (prioritized) {
          next = pending.TakeNext(running.size(), now);
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

TEST_CASE("a backlog gets more answers in time than in order of arrival") {
  Backlog prioritized;
  prioritized.Run(true);
  Backlog in_order;
  in_order.Run(false);
  CHECK(prioritized.in_time > in_order.in_time);
  CHECK(prioritized.in_time + prioritized.late + prioritized.lost >=
        in_order.in_time + in_order.late);
  // A late answer is worth a third of one in time.
  CHECK(prioritized.in_time + 0.3 * static_cast<double>(prioritized.late) >
        in_order.in_time + 0.3 * static_cast<double>(in_order.late));
}

TEST_CASE(
    "nothing waits while the upstream has room or its slots are unknown") {
  PendingRequestQueue pending;
  CHECK_FALSE(pending.MustWait(100));
  CHECK_FALSE(pending.IsOverloaded(kIdempotent, 100, {}));
  pending.SetSlots(3);
  CHECK_FALSE(pending.MustWait(3));
  CHECK(pending.MustWait(100));
}

TEST_CASE("non-idempotent requests go before idempotent ones, late ones last") {
  ManualClock clock;
  PendingRequestQueue pending;
  pending.SetSlots(3);
  pending.Push(Request(1, kIdempotent, clock.Now()));
  clock.Advance(milliseconds(130));
  pending.Push(Request(2, kIdempotent, clock.Now()));
  clock.Advance(milliseconds(10));
  pending.Push(Request(3, kNonIdempotent, clock.Now()));
  for (const std::uint32_t expected : {3U, 2U, 1U}) {
    const auto next = pending.TakeNext(0, clock.Now());
    REQUIRE(next);
    CHECK(next->tuple.caller.ipv4 == expected);
  }
  CHECK_FALSE(pending.TakeNext(0, clock.Now()));
}

TEST_CASE("a queued request expires before its caller's time-out") {
  ManualClock clock;
  PendingRequestQueue pending;
  pending.SetSlots(3);
  pending.Push(Request(1, kIdempotent, clock.Now()));
  clock.Advance(kIdempotent.timeout - milliseconds(100));
  CHECK(pending.TakeExpired(clock.Now()).empty());
  clock.Advance(milliseconds(100));
  CHECK(pending.TakeExpired(clock.Now()).size() == 1);
  CHECK(pending.size() == 0);
}

TEST_CASE(
    "a queue that is too long for the time-out accepts no more requests") {
  ManualClock clock;
  PendingRequestQueue pending;
  pending.SetSlots(2);
  std::uint32_t caller = 0;
  while (pending.CanMeetDeadline(kIdempotent, 0, clock.Now())) {
    pending.Push(Request(++caller, kIdempotent, clock.Now()));
    REQUIRE(caller < 1000);
  }
  CHECK(pending.IsOverloaded(kIdempotent, 0, clock.Now()));
  // Waiting may take 0.6 of 800 ms, with two slots and 20 ms for each request.
  CHECK(caller >= 40);
  CHECK(caller <= 50);
}

}  // namespace fireflytrestle
