#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "../bench/meshnetwork.h"

namespace fireflytrestle {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Targets of the design.
constexpr seconds kPropagationTarget{4};
constexpr int kMaxCallsPerSecond = 2000;
constexpr std::uint64_t kMaxBytesPerSecond = 5000;

VersionedDocument ConfigurationAt(std::uint64_t revision, bool out = false) {
  Configuration configuration;
  configuration.revision = Revision(revision);
  configuration.zones = {
      {ZoneId(1), "merkato-" + std::to_string(revision), "addis", out}};
  return ToDocument(configuration);
}

/// A running fleet of balancers and agents, spread over regions and zones.
struct Fleet {
  Fleet(std::size_t balancers,
        std::size_t agents,
        std::uint64_t seed = 1,
        milliseconds delay = milliseconds(1),
        std::size_t regions = 2)
      : net(seed, delay) {
    for (std::size_t i = 0; i < balancers + agents; ++i) {
      const std::string region = "region-" + std::to_string(i % regions);
      net.Add(i >= balancers, region, region + (i % 4 < 2 ? "-a" : "-b"));
    }
    net.Publish(DocumentKind::kConfiguration, ConfigurationAt(1));
    net.PublishInstances([](const auto&) { return true; });
    for (std::size_t i = 0; i < net.processes.size(); ++i) {
      net.Start(i);
    }
    net.Run(seconds(10));
  }

  void Publish(std::uint64_t revision) {
    net.Publish(DocumentKind::kConfiguration, ConfigurationAt(revision));
  }

  bool HoldsLeaseAt(std::size_t index, std::uint64_t revision) const {
    return net.Holds(index) && net.RevisionOf(index) == Revision(revision);
  }

  /// Returns the number of processes that hold the lease at \p revision.
  std::size_t CountHoldingLeaseAt(std::uint64_t revision) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < net.processes.size(); ++i) {
      count += HoldsLeaseAt(i, revision) ? 1 : 0;
    }
    return count;
  }

  void SetService(MeshNetwork::Service service) {
    for (MeshNetwork::Process& process : net.processes) {
      process.service = service;
    }
  }

  int MaxCallsPerSecond() const {
    int max_calls = 0;
    for (const auto& [second, calls] : net.calls) {
      max_calls = std::max(max_calls, calls);
    }
    return max_calls;
  }

  /// Counts the calls after which a process holds no lease.
  void CountLeaseGaps() {
    net.after_call = [this](std::size_t i) {
      lease_gaps += net.Holds(i) ? 0 : 1;
    };
  }

  /// Records whether a process acts on revision 1 from now on.
  void RecordOldRevision() {
    net.after_call = [this](std::size_t i) {
      served_old_revision |= HoldsLeaseAt(i, 1);
    };
  }

  MeshNetwork net;
  std::size_t lease_gaps = 0;
  bool served_old_revision = false;
};

}  // namespace

TEST_CASE("a change is in effect at every process within the target time") {
  // Guards against processes that miss a change, also if only one balancer can
  // read it from the platform.
  Fleet fleet(12, 20);
  REQUIRE(fleet.CountHoldingLeaseAt(1) == 32);
  fleet.Publish(2);
  fleet.net.Run(kPropagationTarget);
  CHECK(fleet.CountHoldingLeaseAt(2) == 32);

  fleet.SetService(MeshNetwork::Service::kDown);
  fleet.net.processes[7].service = MeshNetwork::Service::kUp;
  fleet.net.Run(seconds(60));
  for (std::uint64_t revision = 3; revision < 30; ++revision) {
    fleet.Publish(revision);
    fleet.net.Run(kPropagationTarget);
    CHECK(fleet.CountHoldingLeaseAt(revision) == 32);
    fleet.net.Run(milliseconds(130 * revision));
  }
}

TEST_CASE("a balancer that cannot reach the service gets changes from peers") {
  // Guards against a process that depends on its own reads of the platform.
  Fleet fleet(3, 2);
  fleet.net.processes[1].service = MeshNetwork::Service::kDown;
  fleet.Publish(2);
  fleet.net.Run(kPropagationTarget);
  CHECK(fleet.CountHoldingLeaseAt(2) == 5);
}

TEST_CASE("the fleet keeps its leases while the service is down for an hour") {
  // Guards against a lease that depends on the service, against calls beyond
  // the limit of the service while it is down and when it returns, and against
  // balancers that remain fallback readers after that.
  Fleet fleet(20, 12);
  fleet.SetService(MeshNetwork::Service::kDown);
  fleet.CountLeaseGaps();
  fleet.net.Run(hours(1));
  CHECK(fleet.lease_gaps == 0);
  fleet.Publish(2);
  fleet.SetService(MeshNetwork::Service::kUp);
  fleet.net.Run(kPropagationTarget);
  CHECK(fleet.CountHoldingLeaseAt(2) == 32);
  CHECK(fleet.MaxCallsPerSecond() <= kMaxCallsPerSecond);

  fleet.net.Run(seconds(60));
  fleet.net.calls.clear();
  fleet.net.Run(seconds(20));
  int calls = 0;
  for (const auto& [second, count] : fleet.net.calls) {
    calls += count;
  }
  // Three watchers in each of two regions read the configuration every 1 s and
  // the instance list every 2 s.
  CHECK(calls <= 3 * 2 * (20 + 10) + 6);
}

TEST_CASE("two operators that publish one revision leave one configuration") {
  // Guards against processes that keep different documents forever.
  Fleet fleet(8, 8);
  const VersionedDocument first = ConfigurationAt(2, false);
  const VersionedDocument second = ConfigurationAt(2, true);
  fleet.SetService(MeshNetwork::Service::kDown);
  fleet.net.Run(seconds(2));
  fleet.net.Publish(DocumentKind::kConfiguration, first);
  fleet.net.MakeStaleCopy();
  fleet.net.Publish(DocumentKind::kConfiguration, second);
  // Both sides of a partition read their own document.
  for (std::size_t i = 0; i < 16; ++i) {
    fleet.net.SetGroup(i, static_cast<int>(i % 2));
    fleet.net.processes[i].service =
        i % 2 == 0 ? MeshNetwork::Service::kStale : MeshNetwork::Service::kUp;
  }
  fleet.net.Run(kPropagationTarget);
  const auto digest = [&fleet](std::size_t i) {
    return fleet.net.processes[i].node->version().configuration_digest;
  };
  REQUIRE(digest(0) == first.digest);
  REQUIRE(digest(1) == second.digest);
  for (std::size_t i = 0; i < 16; ++i) {
    fleet.net.SetGroup(i, 0);
  }
  fleet.net.Run(kPropagationTarget);
  for (std::size_t i = 0; i < 16; ++i) {
    CHECK(digest(i) == std::max(first.digest, second.digest));
  }
}

TEST_CASE("a restarted process does not act on the answer of a stale service") {
  // Guards against a process that acts on an older revision after it joins.
  Fleet fleet(6, 4);
  fleet.net.MakeStaleCopy();
  fleet.Publish(2);
  fleet.net.Run(kPropagationTarget);
  fleet.SetService(MeshNetwork::Service::kStale);
  fleet.RecordOldRevision();
  for (const std::size_t index : {1U, 8U}) {
    fleet.net.Kill(index);
    // The only seed is an address that does not answer, so the instance list
    // of the stale service is the only way to find the other processes.
    fleet.net.processes[index].settings.seeds = {{0x7f000001, 9999}};
    fleet.net.Start(index);
    fleet.net.Run(seconds(30));
    CHECK(fleet.HoldsLeaseAt(index, 2));
  }
  CHECK_FALSE(fleet.served_old_revision);
}

TEST_CASE("a resumed process does not act before it is confirmed again") {
  // Guards against answers that waited in a buffer during the pause and renew
  // the lease.
  for (int offset = 0; offset < 1000; offset += 100) {
    Fleet fleet(6, 2, 1, milliseconds(100));
    fleet.net.Run(milliseconds(offset));
    for (const std::size_t index : {4U, 7U}) {
      fleet.net.Freeze(index);
    }
    fleet.Publish(2);
    fleet.net.Run(seconds(60));
    fleet.RecordOldRevision();
    for (const std::size_t index : {4U, 7U}) {
      fleet.net.Resume(index);
    }
    fleet.net.Run(kPropagationTarget);
    CHECK_FALSE(fleet.served_old_revision);
    CHECK(fleet.CountHoldingLeaseAt(2) == 8);
  }
}

TEST_CASE("two resumed processes do not confirm each other's stale view") {
  // Guards against confirmation by processes whose own view is out of date.
  for (const std::size_t second : {0U, 2U, 6U, 8U, 10U}) {
    Fleet fleet(8, 4);
    fleet.net.Freeze(4);
    fleet.net.Freeze(second);
    // After this, the other processes have closed their links to the two.
    fleet.net.Run(seconds(30));
    fleet.Publish(2);
    fleet.net.Run(seconds(30));
    fleet.RecordOldRevision();
    fleet.net.Resume(4);
    fleet.net.Resume(second);
    fleet.net.Run(kPropagationTarget);
    CHECK_FALSE(fleet.served_old_revision);
    CHECK(fleet.CountHoldingLeaseAt(2) == 12);
  }
}

TEST_CASE("a fleet that was paused as a whole recovers") {
  // Guards against processes that wait for each other's confirmation forever.
  Fleet fleet(4, 4);
  fleet.SetService(MeshNetwork::Service::kDown);
  for (std::size_t i = 0; i < 8; ++i) {
    fleet.net.Freeze(i);
  }
  fleet.net.Run(seconds(60));
  for (std::size_t i = 0; i < 8; ++i) {
    fleet.net.Resume(i);
  }
  CHECK(fleet.CountHoldingLeaseAt(1) == 0);
  fleet.net.Run(seconds(8));
  CHECK(fleet.CountHoldingLeaseAt(1) == 8);
}

TEST_CASE("an isolated process loses its lease and regains it") {
  // Guards against a process that acts on a view that no process confirms.
  Fleet fleet(6, 3);
  for (const std::size_t index : {2U, 7U}) {
    fleet.net.SetGroup(index, 1);
    fleet.net.processes[index].service = MeshNetwork::Service::kDown;
    fleet.net.Run(kViewLeaseDuration);
    CHECK_FALSE(fleet.net.Holds(index));
    fleet.net.Run(seconds(600));
    fleet.net.SetGroup(index, 0);
    fleet.net.Run(kPropagationTarget);
    CHECK(fleet.HoldsLeaseAt(index, 1));
  }
}

TEST_CASE("the newer revision is in effect everywhere after a partition") {
  // Guards against regions that remain at different revisions after the
  // partition, and against processes that lose their lease during it.
  constexpr std::size_t kRegions = 5;
  for (const std::size_t leaves : {0U, 20U}) {
    Fleet fleet(30, leaves, 1, milliseconds(1), kRegions);
    const std::size_t all = 30 + leaves;
    fleet.CountLeaseGaps();
    for (std::size_t i = 0; i < all; ++i) {
      fleet.net.SetGroup(i, static_cast<int>(i % kRegions));
      if (i % kRegions != 0) {
        fleet.net.processes[i].service = MeshNetwork::Service::kDown;
      }
    }
    fleet.net.Run(seconds(2));
    fleet.Publish(2);
    fleet.net.Run(seconds(600));
    CHECK(fleet.CountHoldingLeaseAt(2) == all / kRegions);
    CHECK(fleet.CountHoldingLeaseAt(1) == all - all / kRegions);
    CHECK(fleet.lease_gaps == 0);
    for (std::size_t i = 0; i < all; ++i) {
      fleet.net.SetGroup(i, 0);
    }
    fleet.net.Run(kPropagationTarget);
    CHECK(fleet.CountHoldingLeaseAt(2) == all);
  }
}

TEST_CASE("a small site serves on silent connections and without the service") {
  // Guards against a lost lease on a site without another balancer that could
  // replace a silent link.
  for (int offset = 0; offset < 2000; offset += 100) {
    Fleet fleet(offset % 200 == 0 ? 1 : 2, 2, 1 + offset);
    fleet.SetService(MeshNetwork::Service::kDown);
    fleet.net.Run(milliseconds(offset));
    fleet.CountLeaseGaps();
    fleet.net.SilenceConnections();
    fleet.net.Run(seconds(10));
    CHECK(fleet.lease_gaps == 0);
  }
}

TEST_CASE("a document that is not valid does not block the next one") {
  // Guards against watchers that stop at a document that they reject, and
  // against reading it repeatedly.
  Fleet fleet(4, 2);
  VersionedDocument invalid{
      Revision(2), 0, {{"zone/1", std::string(100000, ' ')}}};
  invalid.digest = ComputeDigest(invalid.entries);
  const std::uint64_t before = fleet.net.processes[0].traffic.bytes;
  fleet.net.Publish(DocumentKind::kConfiguration, invalid);
  fleet.net.Run(seconds(60));
  CHECK(fleet.CountHoldingLeaseAt(1) == 6);
  CHECK(fleet.net.processes[0].traffic.bytes - before <=
        kMaxBytesPerSecond * 60);
  fleet.Publish(3);
  fleet.net.Run(kPropagationTarget);
  CHECK(fleet.CountHoldingLeaseAt(3) == 6);
}

TEST_CASE("silent connections and lost balancers do not stop a leaf") {
  // Guards against silent links that are never replaced, and against leaves
  // that do not look for other balancers.
  Fleet fleet(8, 8);
  fleet.CountLeaseGaps();
  fleet.net.SilenceConnections();
  fleet.net.Run(seconds(10));
  CHECK(fleet.lease_gaps == 0);

  for (const std::size_t killed : {0U, 1U, 2U, 3U, 4U}) {
    fleet.net.Kill(killed, true);
    fleet.net.Run(seconds(5));
  }
  fleet.Publish(2);
  fleet.net.Run(kPropagationTarget);
  CHECK(fleet.CountHoldingLeaseAt(2) == 11);
}

TEST_CASE("random schedules of failures end with the newest revision") {
  // Guards against states from which the fleet does not recover, against a
  // process that reverts to an older revision, and against leases longer than
  // kViewLeaseDuration.
  CHECK(rc::check([] {
    Fleet fleet(7, 6, *rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::pair<int, Revision>> latest(13);
    fleet.net.after_call = [&](std::size_t i) {
      const auto& process = fleet.net.processes[i];
      RC_ASSERT(process.node->lease().until() <=
                fleet.net.now() + kViewLeaseDuration);
      auto& [life, revision] = latest[i];
      RC_ASSERT(life != process.life || revision <= fleet.net.RevisionOf(i));
      life = process.life;
      revision = fleet.net.RevisionOf(i);
    };
    std::uint64_t revision = 1;
    const int steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      const std::size_t index = *rc::gen::inRange<std::size_t>(0, 13);
      MeshNetwork::Process& process = fleet.net.processes[index];
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          fleet.net.Freeze(index);
          break;
        case 1:
          fleet.net.Resume(index);
          break;
        case 2:
          fleet.net.SetGroup(index, *rc::gen::inRange(0, 3));
          break;
        case 3:
          process.service =
              static_cast<MeshNetwork::Service>(*rc::gen::inRange(0, 3));
          break;
        case 4:
          fleet.Publish(++revision);
          break;
        case 5:
          fleet.net.Kill(index, *rc::gen::arbitrary<bool>());
          fleet.net.Start(index);
          break;
        case 6:
          fleet.net.SilenceConnections();
          break;
        default:
          fleet.net.MakeStaleCopy();
          break;
      }
      fleet.net.Run(milliseconds(*rc::gen::inRange(0, 5000)));
    }
    for (std::size_t i = 0; i < 13; ++i) {
      fleet.net.SetGroup(i, 0);
      fleet.net.processes[i].service = MeshNetwork::Service::kUp;
      if (fleet.net.processes[i].frozen) {
        fleet.net.Resume(i);
      }
    }
    // Retries of lost links take up to 2 s, and a restart up to 4 s more.
    fleet.net.Run(seconds(15));
    fleet.Publish(++revision);
    fleet.net.Run(kPropagationTarget);
    RC_ASSERT(fleet.CountHoldingLeaseAt(revision) == 13U);
  }));
}

}  // namespace fireflytrestle
