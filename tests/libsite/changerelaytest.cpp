#include "libsite/changerelay.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>

#include "libbase/manualclock.h"
#include "libbase/seededrandom.h"
#include "libsite/sitestate.h"
#include "libsite/siteview.h"
#include "libsite/storefollower.h"
#include "testdecoder.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

namespace {

/// \brief Several processes that follow one store on a manual clock and send
/// its changes to each other.
class Fleet {
 public:
  explicit Fleet(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
      Start(i);
    }
    Run(milliseconds(3000));
  }

  void Start(std::size_t index) {
    StartAlone(index);
    for (auto& [other, process] : processes) {
      process->relay.OnIntroduced(AddressOf(index), clock.Now());
      processes[index]->relay.OnIntroduced(AddressOf(other), clock.Now());
    }
  }

  /// Starts a process that no other process knows and that knows none.
  void StartAlone(std::size_t index) {
    processes[index] = std::make_unique<Process>(m_decoder, ++m_incarnations);
  }

  void Introduce(std::size_t index, std::size_t to) {
    processes[to]->relay.OnIntroduced(AddressOf(index), clock.Now());
  }

  void Put(const std::string& key, const std::string& value) {
    m_items[key] = {key, value, Revision{++m_revision}};
  }

  void Run(Duration time) {
    constexpr milliseconds kStep{50};
    for (Duration passed{}; passed < time; passed += kStep) {
      clock.Advance(kStep);
      for (auto& [index, process] : processes) {
        if (!paused.contains(index)) {
          Tick(index, process.get());
        }
      }
    }
  }

  /// Returns the processes that read the store within the next \p time.
  std::set<std::size_t> Readers(Duration time) {
    reads.clear();
    Run(time);
    std::set<std::size_t> readers;
    for (const auto& [index, count] : reads) {
      readers.insert(index);
    }
    return readers;
  }

  bool HasUpstream(std::size_t index, std::uint32_t address) {
    return processes[index]->state.View()->upstreams.contains(address);
  }

  struct Process {
    Process(const RecordDecoder& decoder, std::uint64_t incarnation)
        : random(incarnation),
          state(decoder, [](const SiteChange&) {}),
          relay(Incarnation{incarnation}, &random),
          self{incarnation} {}
    SeededRandom random;
    SiteState state;
    StoreFollower follower{"up/", &state, &random};
    ChangeRelay relay;
    Incarnation self;
    std::optional<StoreFollower::Read> pending_read;
    TimePoint pending_until{};
  };

  ManualClock clock;
  std::map<std::size_t, std::unique_ptr<Process>> processes;
  std::map<std::size_t, std::size_t> reads;
  /// Messages that each process has sent to others.
  std::map<std::size_t, std::size_t> sent;
  /// Processes whose reads the store refuses.
  std::set<std::size_t> refused;
  /// Processes whose reads the store does not answer.
  std::set<std::size_t> cut_off;
  /// Processes that receive no messages from other processes.
  std::set<std::size_t> inbound_blocked;
  /// Processes that are paused.
  std::set<std::size_t> paused;

 private:
  static SocketAddress AddressOf(std::size_t index) {
    return {static_cast<std::uint32_t>(index + 1), 1};
  }

  void Tick(std::size_t index, Process* process) {
    const TimePoint now = clock.Now();
    process->follower.SetPassive(!process->relay.MustReadStore(now), now);
    SendHeartbeat(index, process);
    if (!process->pending_read) {
      const StoreFollower::Read read = process->follower.OnTick(now);
      if (read.kind != StoreFollower::Read::Kind::kNone) {
        ++reads[index];
        process->pending_read = read;
        process->pending_until = now + read.wait;
      }
    }
    if (process->pending_read) {
      AnswerPendingRead(index, process);
    }
  }

  void SendHeartbeat(std::size_t index, Process* process) {
    const TimePoint now = clock.Now();
    if (process->relay.TakeDueHeartbeat(process->follower.ReadsStore(now),
                                        now)) {
      SharedChanges heartbeat = process->follower.MakeHeartbeat(now);
      heartbeat.sender = process->self;
      heartbeat.peers = process->relay.NextPeerSample(now);
      Send(index, process->relay.HeartbeatReceivers(now), heartbeat);
    }
  }

  void AnswerPendingRead(std::size_t index, Process* process) {
    const StoreFollower::Read read = *process->pending_read;
    const bool watch = read.kind == StoreFollower::Read::Kind::kWatch;
    StoreAnswer answer;
    if (cut_off.contains(index)) {
      if (clock.Now() <
          process->pending_until + StoreFollower::kAnswerTimeout) {
        return;
      }
      answer.problem = "timed out";
    } else if (refused.contains(index)) {
      answer.problem = "refused";
    } else {
      answer.outcome = StoreAnswer::Outcome::kItems;
      answer.as_of = Revision{m_revision};
      for (const auto& [key, item] : m_items) {
        if (!key.starts_with(process->follower.prefix())) {
          continue;
        }
        if (!watch || item.revision > read.after) {
          answer.items.push_back(item);
        }
      }
      if (watch && answer.items.empty() &&
          clock.Now() < process->pending_until) {
        return;
      }
    }
    process->pending_read.reset();
    const Revision before = process->follower.unchanged_since();
    process->follower.OnAnswer(read.number, answer, clock.Now());
    if (watch && !answer.items.empty() && !process->follower.passive()) {
      for (SharedChanges& changes : ChangeRelay::SplitIntoMessages(
               before, process->follower.position(), answer.items)) {
        changes.sender = process->self;
        Send(index, process->relay.Peers(clock.Now()), changes);
      }
    }
    SendHeartbeat(index, process);
  }

  void Send(std::size_t from,
            const std::vector<SocketAddress>& receivers,
            const SharedChanges& changes) {
    for (const SocketAddress& peer : receivers) {
      const std::size_t to = peer.ipv4 - 1;
      ++sent[from];
      if (to != from && processes.contains(to) && !paused.contains(to) &&
          !inbound_blocked.contains(to)) {
        processes[to]->relay.OnPeerMessage(AddressOf(from), changes,
                                           clock.Now());
        processes[to]->follower.OnSharedChanges(changes, clock.Now());
      }
    }
  }

  TestDecoder m_decoder;
  std::uint64_t m_incarnations = 0;
  std::uint64_t m_revision = 0;
  std::map<std::string, StoreItem> m_items;
};

}  // namespace

TEST_CASE(
    "pattern: only two of many balancers read entries that change constantly") {
  Fleet fleet(20);
  fleet.reads.clear();
  for (std::uint32_t change = 1; change <= 50; ++change) {
    fleet.Put("up/" + std::to_string(change % 7), std::to_string(change));
    fleet.Run(milliseconds(200));
  }
  CHECK(fleet.reads.size() == ChangeRelay::kReaderCount);
  fleet.Run(milliseconds(1000));
  for (std::size_t i = 0; i < 20; ++i) {
    CHECK(fleet.HasUpstream(i, 50));
  }
}

TEST_CASE(
    "pattern: changes of other parts of the store make no process read but the "
    "readers") {
  Fleet fleet(20);
  fleet.Put("up/1", "11");
  fleet.Run(milliseconds(2000));
  fleet.reads.clear();
  for (std::uint32_t change = 1; change <= 50; ++change) {
    fleet.Put("elsewhere/" + std::to_string(change), "");
    fleet.Run(milliseconds(100));
  }
  CHECK(fleet.reads.size() == ChangeRelay::kReaderCount);
  fleet.Put("up/2", "12");
  fleet.Run(milliseconds(1000));
  CHECK(fleet.reads.size() == ChangeRelay::kReaderCount);
  for (std::size_t i = 0; i < 20; ++i) {
    CHECK(fleet.HasUpstream(i, 12));
  }
}

TEST_CASE("a process whose reads fail receives changes from other processes") {
  Fleet fleet(4);
  const std::size_t reader = *fleet.Readers(milliseconds(2000)).begin();
  for (const std::size_t refused : {reader, std::size_t{3}}) {
    fleet.refused = {refused};
    fleet.Run(milliseconds(3000));
    fleet.Put("up/new", std::to_string(100 + refused));
    fleet.Run(milliseconds(1500));
    for (std::size_t i = 0; i < 4; ++i) {
      CHECK(fleet.HasUpstream(i, static_cast<std::uint32_t>(100 + refused)));
    }
  }
}

TEST_CASE(
    "a process whose reads failed is current again through other processes") {
  Fleet fleet(5);
  for (std::size_t i = 0; i < 5; ++i) {
    // The process receives nothing from the others, so it reads the store and
    // is refused.
    fleet.inbound_blocked = {i};
    fleet.refused = {i};
    fleet.Run(milliseconds(3000));
    CHECK_FALSE(fleet.processes[i]->follower.IsCurrent(fleet.clock.Now()));
    fleet.inbound_blocked.clear();
    fleet.Run(milliseconds(3000));
    CHECK(fleet.processes[i]->follower.IsCurrent(fleet.clock.Now()));
    fleet.refused.clear();
    fleet.Run(milliseconds(3000));
    CHECK(fleet.processes[i]->follower.IsCurrent(fleet.clock.Now()));
  }
}

TEST_CASE("a change arrives within 2.5 s although all readers are lost") {
  Fleet fleet(6);
  for (const std::size_t reader : fleet.Readers(milliseconds(2000))) {
    fleet.processes.erase(reader);
  }
  fleet.Put("up/1", "11");
  fleet.Run(milliseconds(2500));
  for (const auto& [index, process] : fleet.processes) {
    CHECK(fleet.HasUpstream(index, 11));
  }
}

// Guards against a confirmed change that is not in force in time (CONFIG),
// because both readers are cut off from the store or paused just before it.
TEST_CASE("a large change arrives within 3 s although both readers fail") {
  constexpr milliseconds kDeadline{3000};
  // A change that fits into no message.
  const std::string value = "11" + std::string(5000, ' ');
  for (const std::size_t size : {5U, 7U, 25U}) {
    for (int phase = 0; phase < 12; ++phase) {
      for (const bool pause : {false, true}) {
        Fleet fleet(size);
        const auto readers = fleet.Readers(milliseconds(2000));
        REQUIRE(readers.size() == ChangeRelay::kReaderCount);
        fleet.Run(milliseconds(100 * phase));
        (pause ? fleet.paused : fleet.cut_off) = readers;
        fleet.Run(milliseconds(50));
        fleet.Put("up/1", value);
        fleet.Run(kDeadline);
        CAPTURE(size);
        CAPTURE(phase);
        CAPTURE(pause);
        for (const auto& [index, process] : fleet.processes) {
          if (!readers.contains(index)) {
            CHECK(fleet.HasUpstream(index, 11));
          }
        }
      }
    }
  }
}

TEST_CASE("a process that receives no messages reads the store itself") {
  Fleet fleet(5);
  fleet.inbound_blocked = {4};
  fleet.Run(milliseconds(1500));
  fleet.Put("up/1", "11");
  fleet.Run(milliseconds(500));
  CHECK(fleet.HasUpstream(4, 11));
}

TEST_CASE("lost changes are detected and read at the next heartbeat") {
  Fleet fleet(5);
  fleet.inbound_blocked = {3, 4};
  fleet.Put("up/1", "11");
  fleet.Run(milliseconds(200));
  fleet.inbound_blocked.clear();
  fleet.Run(milliseconds(900));
  CHECK(fleet.HasUpstream(3, 11));
  CHECK(fleet.HasUpstream(4, 11));
}

TEST_CASE("the loss of one reader makes at most one other process read") {
  Fleet fleet(20);
  const auto readers = fleet.Readers(milliseconds(2000));
  REQUIRE(readers.size() == ChangeRelay::kReaderCount);
  fleet.processes.erase(*readers.begin());
  CHECK(fleet.Readers(milliseconds(3000)).size() <= 2);
}

TEST_CASE(
    "pattern: heartbeats per process do not grow with the number of "
    "processes") {
  constexpr std::size_t kSeconds = 10;
  for (const std::size_t size : {30U, 300U}) {
    Fleet fleet(size);
    fleet.sent.clear();
    fleet.Run(std::chrono::seconds(kSeconds));
    std::size_t above = 0;
    for (const auto& [index, count] : fleet.sent) {
      above += count > 2 * ChangeRelay::kReaderCount * kSeconds ? 1 : 0;
    }
    // Only the readers send to all.
    CHECK(above <= ChangeRelay::kReaderCount);
  }
}

TEST_CASE(
    "processes that only the first one knows learn of each other and elect two "
    "readers") {
  Fleet fleet(1);
  for (std::size_t i = 1; i < 40; ++i) {
    fleet.StartAlone(i);
    fleet.Introduce(i, 0);
  }
  fleet.Run(std::chrono::seconds(5));
  CHECK(fleet.Readers(milliseconds(2000)).size() == ChangeRelay::kReaderCount);
  // Their successors know all others as well.
  fleet.processes.erase(0);
  fleet.processes.erase(1);
  fleet.Run(std::chrono::seconds(5));
  CHECK(fleet.Readers(milliseconds(2000)).size() == ChangeRelay::kReaderCount);
}

TEST_CASE("a message of the process itself makes it no peer of its own") {
  SeededRandom random(1);
  ChangeRelay relay(Incarnation{5}, &random);
  const SocketAddress self{1, 1};
  relay.OnIntroduced(self, TimePoint{});
  SharedChanges own;
  own.sender = Incarnation{5};
  relay.OnPeerMessage(self, own, TimePoint{});
  relay.OnIntroduced(self, TimePoint{});
  CHECK(relay.Peers(TimePoint{}).empty());
}

TEST_CASE("changes are split into messages without gaps between them") {
  std::vector<StoreItem> items;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    items.push_back({"up/" + std::to_string(i), std::string(300, 'x'),
                     Revision{100 + 2 * i}});
  }
  SUBCASE("all items fit") {
    const auto messages =
        ChangeRelay::SplitIntoMessages(Revision{90}, Revision{150}, items);
    CHECK(messages.size() == 7);
    CHECK(messages.front().after == Revision{90});
    CHECK(messages.back().as_of == Revision{150});
    for (std::size_t i = 1; i < messages.size(); ++i) {
      CHECK(messages[i].after == messages[i - 1].as_of);
    }
  }
  SUBCASE("an item that is too large is left out with all later items") {
    items[9].value = std::string(5000, 'x');
    const auto messages =
        ChangeRelay::SplitIntoMessages(Revision{90}, Revision{150}, items);
    REQUIRE(messages.size() >= 2);
    CHECK(messages[messages.size() - 2].as_of == Revision{118});
    // The receivers see at once that they have to read.
    CHECK(messages.back().items.empty());
    CHECK(messages.back().after == Revision{150});
    CHECK(messages.back().as_of == Revision{150});
  }
}

}  // namespace fireflytrestle
