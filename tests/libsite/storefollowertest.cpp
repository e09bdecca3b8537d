#include "libsite/storefollower.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "libsite/sitestate.h"
#include "libsite/siteview.h"
#include "testdecoder.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

struct Site {
  ManualClock clock;
  TestDecoder decoder;
  SeededRandom random{1};
  std::vector<SiteChange::Kind> changes;
  SiteState state{decoder, [this](const SiteChange& change) {
                    changes.push_back(change.kind);
                  }};
  StoreFollower follower{"", &state, &random};

  static StoreItem Item(const std::string& key,
                        const std::string& value,
                        std::uint64_t revision) {
    return {key, value, Revision{revision}};
  }

  static StoreItem Removed(const std::string& key, std::uint64_t revision) {
    return {key, std::nullopt, Revision{revision}};
  }

  static StoreAnswer Answer(std::vector<StoreItem> items,
                            std::uint64_t as_of,
                            bool more = false) {
    return {StoreAnswer::Outcome::kItems, std::move(items), Revision{as_of},
            more, ""};
  }

  /// Answers the next read; fails if none is due within 2.5 s.
  StoreFollower::Read AnswerNextRead(const StoreAnswer& answer) {
    StoreFollower::Read read;
    for (int i = 0; i < 50; ++i) {
      read = follower.OnTick(clock.Now());
      if (read.kind != StoreFollower::Read::Kind::kNone) {
        break;
      }
      clock.Advance(milliseconds(50));
    }
    REQUIRE(read.kind != StoreFollower::Read::Kind::kNone);
    follower.OnAnswer(read.number, answer, clock.Now());
    return read;
  }
};

}  // namespace

TEST_CASE(
    "after a listing of several pages the watch starts at the first page's "
    "revision") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("config", "3", 5)}, 10, true));
  const auto second =
      site.AnswerNextRead(Site::Answer({Site::Item("up/a", "1", 8)}, 14));
  CHECK(second.after_key == "config");
  CHECK(site.state.View()->upstreams.size() == 1);
  const auto watch = site.follower.OnTick(site.clock.Now());
  CHECK(watch.kind == StoreFollower::Read::Kind::kWatch);
  CHECK(watch.after == Revision{10});
}

TEST_CASE("an older configuration never replaces a newer one") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("config", "7", 5)}, 5));
  site.AnswerNextRead(Site::Answer({Site::Item("config", "6", 6)}, 6));
  CHECK(site.state.View()->configuration_version == 7);
  CHECK(site.changes.back() == SiteChange::Kind::kConfigurationOlder);
  site.AnswerNextRead(Site::Answer({Site::Item("config", "9", 7)}, 7));
  CHECK(site.state.View()->configuration_version == 9);
}

TEST_CASE("the view names dropped routes for a minute, unless they are back") {
  Site site;
  const SocketAddress route{7, 0};
  const auto install = [&](const std::string& value, std::uint64_t revision) {
    site.AnswerNextRead(
        Site::Answer({Site::Item("config", value, revision)}, revision));
  };
  install("3 7", 5);
  CHECK(site.state.View()->dropped_routes.empty());
  install("4", 6);
  CHECK(site.state.View()->dropped_routes.contains(route));
  SUBCASE("the route is added again") {
    install("5 7", 7);
    CHECK(site.state.View()->dropped_routes.empty());
  }
  SUBCASE("a minute later") {
    site.clock.Advance(SiteState::kDroppedRouteRetention);
    CHECK(site.state.Expire(site.clock.Now()));
    CHECK(site.state.View()->dropped_routes.empty());
  }
}

TEST_CASE("a listing older than the current view changes nothing") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("zone/a", "", 5)}, 9));
  StoreAnswer gone;
  gone.outcome = StoreAnswer::Outcome::kHistoryGone;
  site.AnswerNextRead(gone);
  site.AnswerNextRead(Site::Answer({}, 4));
  CHECK(site.state.View()->zones_out.contains("a"));
  site.AnswerNextRead(Site::Answer({}, 12));
  CHECK(site.state.View()->zones_out.empty());
}

TEST_CASE(
    "lost history leads to a new listing that also removes missing entries") {
  Site site;
  site.AnswerNextRead(Site::Answer(
      {Site::Item("up/a", "1", 1), Site::Item("up/b", "2", 2)}, 2));
  StoreAnswer gone;
  gone.outcome = StoreAnswer::Outcome::kHistoryGone;
  site.AnswerNextRead(gone);
  const auto read =
      site.AnswerNextRead(Site::Answer({Site::Item("up/b", "2", 2)}, 20));
  CHECK(read.kind == StoreFollower::Read::Kind::kList);
  site.clock.Advance(SiteState::kMissingGracePeriod);
  CHECK(site.state.Expire(site.clock.Now()));
  CHECK(site.state.View()->upstreams.size() == 1);
}

TEST_CASE("an upstream whose entry reappears within the grace period is kept") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("up/a", "1", 1)}, 1));
  site.AnswerNextRead(Site::Answer({Site::Removed("up/a", 2)}, 2));
  CHECK(site.state.View()->upstreams.at(1).missing_since);
  site.clock.Advance(milliseconds(1500));
  CHECK_FALSE(site.state.Expire(site.clock.Now()));
  site.AnswerNextRead(Site::Answer({Site::Item("up/a", "1", 3)}, 3));
  CHECK_FALSE(site.state.View()->upstreams.at(1).missing_since);
  site.clock.Advance(SiteState::kMissingGracePeriod);
  CHECK_FALSE(site.state.Expire(site.clock.Now()));
}

TEST_CASE("of two entries with the same address the newer one is used") {
  Site site;
  site.AnswerNextRead(Site::Answer(
      {Site::Item("up/old", "1", 1), Site::Item("up/new", "1", 2)}, 2));
  CHECK(site.state.View()->upstreams.at(1).id == "new");
}

// Guards against an upstream that gets no flow any more after an entry of
// another writer for its address was there: its agent ignores entries of older
// revisions than it has applied.
TEST_CASE("the revision of an upstream does not fall when an entry goes") {
  Site site;
  site.AnswerNextRead(
      Site::Answer({Site::Item("config", "3", 1), Site::Item("up/own", "1", 2),
                    Site::Item("up/other", "1", 3)},
                   3));
  CHECK(site.state.View()->upstreams.at(1).revision == Revision{3});
  SUBCASE("it is removed") {
    site.AnswerNextRead(Site::Answer({Site::Removed("up/other", 5)}, 5));
  }
  SUBCASE("it names another address") {
    site.AnswerNextRead(Site::Answer({Site::Item("up/other", "2", 5)}, 5));
  }
  SUBCASE("it names a service that is not configured") {
    site.AnswerNextRead(
        Site::Answer({Site::Item("up/other", "1 old-name", 5)}, 5));
  }
  CHECK(site.state.View()->upstreams.at(1).id == "own");
  CHECK(site.state.View()->upstreams.at(1).revision == Revision{5});
  site.clock.Advance(SiteState::kMissingGracePeriod);
  site.state.Expire(site.clock.Now());
  CHECK(site.state.View()->upstreams.at(1).revision == Revision{5});
}

// Guards against a live upstream that an entry of another writer replaces in
// the view (FLOW, DRAIN).
TEST_CASE("an entry whose service no configuration names hides no other") {
  Site site;
  site.AnswerNextRead(
      Site::Answer({Site::Item("config", "3", 1), Site::Item("up/own", "1", 2),
                    Site::Item("up/other", "1 old-name", 3)},
                   3));
  CHECK(site.state.View()->upstreams.at(1).id == "own");
  CHECK(std::count(site.changes.begin(), site.changes.end(),
                   SiteChange::Kind::kUnreadable) == 1);
}

// Guards against a reset of the open flows of a service that a configuration
// has dropped (FLOW), by a balancer that starts while their agent restarts.
TEST_CASE("the view names upstreams of services that are not configured") {
  Site site;
  site.AnswerNextRead(
      Site::Answer({Site::Item("config", "3", 1), Site::Item("up/own", "1", 2),
                    Site::Item("up/other", "1 old-name", 3),
                    Site::Item("up/old", "2 old-name", 4)},
                   4));
  CHECK(site.state.View()->upstreams.size() == 1);
  CHECK(site.state.View()->unconfigured_upstreams ==
        std::set<std::uint32_t>{2});
  site.AnswerNextRead(Site::Answer({Site::Removed("up/old", 5)}, 5));
  site.clock.Advance(SiteState::kMissingGracePeriod);
  CHECK(site.state.Expire(site.clock.Now()));
  CHECK(site.state.View()->unconfigured_upstreams.empty());
}

TEST_CASE(
    "an unreachable store leaves the view unchanged and gets few retries") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("config", "3", 5)}, 5));
  int reads = 0;
  const TimePoint end = site.clock.Now() + std::chrono::seconds(10);
  while (site.clock.Now() < end) {
    const auto read = site.follower.OnTick(site.clock.Now());
    if (read.kind != StoreFollower::Read::Kind::kNone) {
      ++reads;
      site.follower.OnAnswer(read.number, StoreAnswer(), site.clock.Now());
    }
    site.clock.Advance(milliseconds(50));
  }
  CHECK(site.state.View()->configuration_version == 3);
  CHECK_FALSE(site.follower.IsCurrent(site.clock.Now()));
  // At least one read every 1.6 s, so that a change is applied within 3 s after
  // the store is reachable again.
  CHECK(reads >= 6);
  CHECK(reads <= 20);
}

// Guards against changes that never arrive (CONFIG), because the same watch is
// repeated although its answer is too large.
TEST_CASE("changes that are too many for a watch are read by a listing") {
  Site site;
  site.AnswerNextRead(Site::Answer({Site::Item("config", "3", 5)}, 5));
  StoreAnswer too_large;
  too_large.outcome = StoreAnswer::Outcome::kTooLarge;
  site.AnswerNextRead(too_large);
  CHECK(site.follower.IsCurrent(site.clock.Now()));
  const auto list = site.follower.OnTick(site.clock.Now());
  REQUIRE(list.kind == StoreFollower::Read::Kind::kList);
  SUBCASE("and the state moves on meanwhile") {
    SharedChanges heartbeat;
    heartbeat.reads_store = true;
    heartbeat.after = Revision{5};
    heartbeat.as_of = Revision{60};
    site.follower.OnSharedChanges(heartbeat, site.clock.Now());
  }
  SUBCASE("and nothing else happens") {}
  site.follower.OnAnswer(list.number,
                         Site::Answer({Site::Item("config", "9", 50)}, 55),
                         site.clock.Now());
  CHECK(site.state.View()->configuration_version == 9);
  CHECK(site.AnswerNextRead(Site::Answer({}, 70)).kind ==
        StoreFollower::Read::Kind::kWatch);
}

// Guards against a missed change that is forgotten (CONFIG) when a reader that
// lags sends its heartbeat.
TEST_CASE("a reader that lags does not hide a change that another has") {
  Site site;
  site.AnswerNextRead(Site::Answer({}, 5));
  const TimePoint now = site.clock.Now();
  site.follower.SetPassive(true, now);
  SharedChanges heartbeat;
  heartbeat.reads_store = true;
  heartbeat.after = Revision{15};
  heartbeat.as_of = Revision{15};
  site.follower.OnSharedChanges(heartbeat, now);
  heartbeat.after = Revision{5};
  heartbeat.as_of = Revision{10};
  site.follower.OnSharedChanges(heartbeat, now);
  const StoreFollower::Read read = site.follower.OnTick(now);
  CHECK(read.kind == StoreFollower::Read::Kind::kWatch);
  SUBCASE("the change is there") {
    site.follower.OnAnswer(read.number, Site::Answer({}, 15), now);
  }
  SUBCASE("the store itself does not have it") {
    site.follower.OnAnswer(read.number, Site::Answer({}, 12), now);
  }
  CHECK(site.follower.OnTick(now).kind == StoreFollower::Read::Kind::kNone);
}

TEST_CASE("a state that nobody confirms is read from the store") {
  Site site;
  site.AnswerNextRead(Site::Answer({}, 5));
  site.follower.SetPassive(true, site.clock.Now());
  SharedChanges heartbeat;
  heartbeat.reads_store = true;
  heartbeat.after = Revision{5};
  heartbeat.as_of = Revision{5};
  const auto run = [&](Duration age, int steps) {
    bool reads = false;
    for (int i = 0; i < steps; ++i) {
      heartbeat.age = std::chrono::duration_cast<milliseconds>(age);
      site.follower.OnSharedChanges(heartbeat, site.clock.Now());
      const auto read = site.follower.OnTick(site.clock.Now());
      reads |= read.kind != StoreFollower::Read::Kind::kNone;
      site.clock.Advance(milliseconds(100));
    }
    return reads;
  };
  CHECK_FALSE(run(StoreFollower::kWatchWait, 40));
  CHECK(run(StoreFollower::kMaxConfirmationAge +
                StoreFollower::kMaxConfirmationJitter,
            25));
}

TEST_CASE("an answer to another read than the pending one is ignored") {
  Site site;
  const auto read = site.follower.OnTick(site.clock.Now());
  CHECK_FALSE(site.follower.OnAnswer(
      read.number + 1, Site::Answer({Site::Item("config", "3", 5)}, 5),
      site.clock.Now()));
  CHECK(site.state.View()->configuration_version == 0);
}

}  // namespace fireflytrestle
