#ifndef FIREFLYTRESTLE_BENCH_MESHNETWORK_H_
#define FIREFLYTRESTLE_BENCH_MESHNETWORK_H_

#include <time.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libbase/seededrandom.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/instancerecord.h"
#include "libmesh/meshmessagecodec.h"
#include "libmesh/meshnode.h"
#include "libmesh/platformreadresult.h"

namespace fireflytrestle {

/// \brief Runs mesh processes on a simulated network, platform and clock.
class MeshNetwork {
 public:
  /// How the platform answers the reads of a process: with the current
  /// documents, not at all, or with the documents of the stale copy.
  enum class Service { kUp, kDown, kStale };

  /// Estimated size of the TCP/IP headers of a packet, with TCP timestamps.
  static constexpr std::uint64_t kHeaderBytes = 52;

  struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  struct Process {
    MeshSettings settings;
    std::unique_ptr<MeshNode> node;
    /// Processes in different groups cannot reach each other.
    int group = 0;
    bool frozen = false;
    Service service = Service::kUp;
    /// The number of starts. Calls and ticks that belong to an earlier start
    /// are discarded.
    int life = 0;
    std::map<LinkId, std::size_t> links;
    /// Events that arrived while the process was frozen.
    std::vector<std::function<void()>> deferred_events;
    Traffic traffic;
    /// Processor time of the calls of the node, including the encoding and
    /// decoding of messages. Measured only while measure_processor is set.
    std::chrono::nanoseconds processor{0};
  };

  explicit MeshNetwork(
      std::uint64_t seed,
      std::chrono::microseconds delay = std::chrono::milliseconds(1))
      : m_random(seed), m_delay(delay) {}

  /// Adds a process without starting it. Its seeds are the first processes, at
  /// most three.
  std::size_t Add(bool leaf, std::string region, std::string zone) {
    const std::size_t index = processes.size();
    Process& process = processes.emplace_back();
    process.settings = {InstanceId(index + 1), std::move(region),
                        std::move(zone),       leaf,
                        AddressOf(index),      {}};
    for (std::size_t seed = 0; seed < std::min<std::size_t>(index, 3); ++seed) {
      process.settings.seeds.push_back(AddressOf(seed));
    }
    return index;
  }

  void Start(std::size_t index) {
    Process& process = processes[index];
    process.node = std::make_unique<MeshNode>(
        process.settings, std::make_unique<SeededRandom>(m_random.Next()),
        m_now);
    process.frozen = false;
    const int life = ++process.life;
    // A random offset keeps the ticks of the processes from coinciding.
    Schedule(std::chrono::milliseconds(m_random.Below(100)),
             [this, index, life] { Tick(index, life); });
  }

  /// Ends a process. If \p silent, its peers do not learn that their
  /// connections to it have ended.
  void Kill(std::size_t index, bool silent = false) {
    Process& process = processes[index];
    process.node.reset();
    process.deferred_events.clear();
    for (const auto& [link, connection] : std::exchange(process.links, {})) {
      if (silent && connection != kConnecting) {
        m_connections[connection].silent = true;
      }
      ClosePeerEnd(connection, index);
    }
  }

  void Freeze(std::size_t index) { processes[index].frozen = true; }

  /// Resumes a frozen process and first delivers the events that arrived while
  /// it was frozen.
  void Resume(std::size_t index) {
    Process& process = processes[index];
    process.frozen = false;
    for (const auto& event : std::exchange(process.deferred_events, {})) {
      event();
    }
    Tick(index, process.life);
  }

  void SetGroup(std::size_t index, int group) {
    processes[index].group = group;
    // TCP retransmits data that it could not deliver during a partition, so the
    // data arrives afterwards.
    for (auto& event : std::exchange(m_undelivered, {})) {
      event();
    }
  }

  /// Drops all further packets of the connections that are open now.
  /// Connections that are opened later are not affected.
  void SilenceConnections() {
    for (Connection& connection : m_connections) {
      connection.silent = true;
    }
  }

  /// Publishes a document and answers the reads that wait for it.
  void Publish(DocumentKind kind, const VersionedDocument& document) {
    m_published_documents[kind] = document;
    for (PendingRead& pending_read : std::exchange(m_pending_reads, {})) {
      if (pending_read.kind != kind || !TryAnswer(pending_read)) {
        m_pending_reads.push_back(std::move(pending_read));
      }
    }
  }

  /// Publishes an instance list of the processes for which \p listed returns
  /// true.
  void PublishInstances(const std::function<bool(const Process&)>& listed) {
    VersionedDocument document;
    document.revision = Revision(++m_instance_revision);
    for (const Process& process : processes) {
      if (listed(process)) {
        const MeshSettings& settings = process.settings;
        document.entries.insert(
            ToEntry({settings.id, settings.region, settings.zone,
                     settings.leaf ? InstanceRecord::Role::kAgent
                                   : InstanceRecord::Role::kBalancer,
                     settings.mesh_address, TargetId{}, false}));
      }
    }
    document.digest = ComputeDigest(document.entries);
    Publish(DocumentKind::kInstances, document);
  }

  /// Copies the published documents. A stale platform answers with this copy.
  void MakeStaleCopy() { m_stale_documents = m_published_documents; }

  void Run(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    m_now = end;
  }

  /// Returns whether the process is running and holds a lease.
  bool Holds(std::size_t index) const {
    const Process& process = processes[index];
    return process.node && process.node->lease().IsHeld(m_now);
  }

  Revision RevisionOf(std::size_t index) const {
    return processes[index].node->version().configuration;
  }

  TimePoint now() const { return m_now; }

  bool measure_processor = false;
  std::deque<Process> processes;
  /// Calls to the platform in each second of the run.
  std::map<std::int64_t, int> calls;
  /// Called with the index of a process after each call of its node.
  std::function<void(std::size_t)> after_call = [](std::size_t) {};
  /// Called with each sent message and the size of its frame in bytes.
  std::function<void(const MeshMessage&, std::size_t)> on_send =
      [](const MeshMessage&, std::size_t) {};

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  struct Connection {
    std::size_t ends[2];
    LinkId links[2] = {};
    bool silent = false;
    bool closed = false;
  };

  struct PendingRead {
    std::size_t index;
    int life;
    DocumentKind kind;
    Revision after;
  };

  /// The connection of a link that is not open yet.
  static constexpr std::size_t kConnecting = SIZE_MAX;

  std::chrono::nanoseconds ProcessorTime() const {
    timespec time{};
    if (measure_processor) {
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    }
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  static SocketAddress AddressOf(std::size_t index) {
    return {0x7f000001, static_cast<std::uint16_t>(10000 + index)};
  }

  void Schedule(Duration delay, std::function<void()> run) {
    m_events.push({m_now + delay, ++m_order, std::move(run)});
  }

  /// Calls the node of process \p index and performs the resulting actions. For
  /// a frozen process, the call is deferred until it resumes. The call is
  /// discarded if the process has ended or restarted since start \p life.
  void CallNode(std::size_t index,
                int life,
                std::function<void(MeshNode*, std::vector<MeshAction>*)> call) {
    Process& process = processes[index];
    if (!process.node || process.life != life) {
      return;
    }
    if (process.frozen) {
      process.deferred_events.push_back(
          [this, index, life, call = std::move(call)] {
            CallNode(index, life, call);
          });
      return;
    }
    const auto begin = ProcessorTime();
    std::vector<MeshAction> actions;
    call(process.node.get(), &actions);
    for (MeshAction& action : actions) {
      std::visit([&](auto& value) { PerformAction(index, value); }, action);
    }
    process.processor += ProcessorTime() - begin;
    after_call(index);
  }

  void Tick(std::size_t index, int life) {
    Process& process = processes[index];
    if (process.frozen || process.life != life || !process.node) {
      return;
    }
    CallNode(index, life,
             [this](MeshNode* node, std::vector<MeshAction>* actions) {
               node->OnTick(m_now, actions);
             });
    Schedule(std::chrono::milliseconds(100),
             [this, index, life] { Tick(index, life); });
  }

  bool CanReach(std::size_t a, std::size_t b) const {
    return processes[a].group == processes[b].group;
  }

  void CountTraffic(std::size_t index,
                    std::uint64_t size,
                    std::uint64_t packets) {
    processes[index].traffic.messages += 1;
    processes[index].traffic.bytes += size + packets * kHeaderBytes;
  }

  void PerformAction(std::size_t index, const OpenLink& open) {
    const std::size_t target = open.address.port - 10000U;
    CountTraffic(index, 0, 3);
    const int life = processes[index].life;
    processes[index].links[open.link] = kConnecting;
    Schedule(2 * m_delay, [this, index, target, open, life] {
      if (target >= processes.size() || !CanReach(index, target) ||
          !processes[index].links.contains(open.link)) {
        return;
      }
      Process& process = processes[index];
      Process& peer = processes[target];
      if (!process.node || process.life != life) {
        return;
      }
      if (!peer.node) {
        CallNode(index, life, [this, open](MeshNode* node, auto* actions) {
          node->OnLinkClosed(open.link, m_now, actions);
        });
        return;
      }
      const std::size_t id = m_connections.size();
      m_connections.push_back({{index, target}, {open.link, {}}});
      process.links[open.link] = id;
      CallNode(target, peer.life,
               [this, target, id](MeshNode* node, auto* actions) {
                 const LinkId link = node->OnLinkAccepted(m_now, actions);
                 m_connections[id].links[1] = link;
                 processes[target].links[link] = id;
               });
      CallNode(index, life, [this, open](MeshNode* node, auto* actions) {
        node->OnLinkOpened(open.link, m_now, actions);
      });
    });
  }

  void PerformAction(std::size_t, const InstallDocument&) {}

  void PerformAction(std::size_t index, const CloseLink& close) {
    const auto found = processes[index].links.find(close.link);
    if (found != processes[index].links.end()) {
      ClosePeerEnd(found->second, index);
      processes[index].links.erase(found);
    }
  }

  /// Closes connection \p id and notifies the peer of process \p index.
  void ClosePeerEnd(std::size_t id, std::size_t index) {
    if (id == kConnecting) {
      return;
    }
    Connection& connection = m_connections[id];
    connection.closed = true;
    const std::size_t peer_index =
        connection.ends[connection.ends[0] == index ? 1 : 0];
    CallPeerEnd(id, index,
                [this, peer_index](MeshNode* node, LinkId link, auto* actions) {
                  processes[peer_index].links.erase(link);
                  node->OnLinkClosed(link, m_now, actions);
                });
  }

  void PerformAction(std::size_t index, const SendOnLink& send) {
    const auto found = processes[index].links.find(send.link);
    if (found == processes[index].links.end() || found->second == kConnecting ||
        m_connections[found->second].closed) {
      return;
    }
    const auto frame = EncodeMeshMessage(send.message);
    on_send(send.message, frame.size());
    // TCP acknowledges a heartbeat in the segment that carries its answer, so a
    // heartbeat needs no acknowledgement of its own. Other messages need one
    // for every two segments.
    const std::uint64_t segments = 1 + frame.size() / 1448;
    const bool heartbeat = std::holds_alternative<MeshHeartbeat>(send.message);
    const std::uint64_t packets =
        segments + (heartbeat ? 0 : (segments + 1) / 2);
    const Connection& connection = m_connections[found->second];
    CountTraffic(connection.ends[0], frame.size() + 4, packets);
    CountTraffic(connection.ends[1], frame.size() + 4, packets);
    CallPeerEnd(found->second, index,
                [this, frame](MeshNode* node, LinkId link, auto* actions) {
                  node->OnMessage(link, DecodeMeshMessage(frame).value(), m_now,
                                  actions);
                });
  }

  /// Calls the peer of process \p from on connection \p id after the network
  /// delay.
  void CallPeerEnd(
      std::size_t id,
      std::size_t from,
      std::function<void(MeshNode*, LinkId, std::vector<MeshAction>*)> call) {
    Schedule(m_delay, [this, id, from, call = std::move(call)] {
      const Connection& connection = m_connections[id];
      const std::size_t side = connection.ends[0] == from ? 1 : 0;
      const std::size_t to = connection.ends[side];
      if (connection.silent) {
        return;
      }
      if (!CanReach(from, to)) {
        m_undelivered.push_back(
            [this, id, from, call] { CallPeerEnd(id, from, call); });
        return;
      }
      CallNode(
          to, processes[to].life,
          [this, id, side, to, call](MeshNode* node, auto* actions) {
            const LinkId link = m_connections[id].links[side];
            const auto found = processes[to].links.find(link);
            // The process may have closed the link or restarted.
            if (found != processes[to].links.end() && found->second == id) {
              call(node, link, actions);
            }
          });
    });
  }

  void PerformAction(std::size_t index, const ReadPlatformDocument& read) {
    ++calls[std::chrono::duration_cast<std::chrono::seconds>(
                m_now.time_since_epoch())
                .count()];
    CountTraffic(index, 350, 4);
    const PendingRead pending_read{index, processes[index].life, read.kind,
                                   read.after};
    Schedule(m_delay, [this, pending_read, wait = read.wait] {
      if (TryAnswer(pending_read)) {
        return;
      }
      m_pending_reads.push_back(pending_read);
      Schedule(wait, [this, pending_read] {
        const auto same = [&pending_read](const PendingRead& other) {
          return other.index == pending_read.index &&
                 other.kind == pending_read.kind &&
                 other.life == pending_read.life;
        };
        if (std::erase_if(m_pending_reads, same) > 0) {
          CompleteRead(pending_read, PlatformReadResult::Outcome::kNotModified,
                       {});
        }
      });
    });
  }

  /// Answers a read if it need not wait for a newer document, and returns
  /// whether it was answered.
  bool TryAnswer(const PendingRead& pending_read) {
    const Service service = processes[pending_read.index].service;
    if (service == Service::kDown) {
      CompleteRead(pending_read, PlatformReadResult::Outcome::kUnreachable, {});
      return true;
    }
    const auto& documents =
        service == Service::kUp ? m_published_documents : m_stale_documents;
    const auto found = documents.find(pending_read.kind);
    if (found == documents.end() ||
        found->second.revision <= pending_read.after) {
      return false;
    }
    CountTraffic(pending_read.index, WriteDocument(found->second).size(), 2);
    CompleteRead(pending_read, PlatformReadResult::Outcome::kDocument,
                 found->second);
    return true;
  }

  void CompleteRead(const PendingRead& pending_read,
                    PlatformReadResult::Outcome outcome,
                    std::optional<VersionedDocument> document) {
    const PlatformReadResult result{pending_read.kind, outcome,
                                    std::move(document)};
    // The configuration is the larger document and takes twice the delay.
    Schedule(pending_read.kind == DocumentKind::kConfiguration ? 2 * m_delay
                                                               : m_delay,
             [this, pending_read, result] {
               CallNode(pending_read.index, pending_read.life,
                        [this, result](MeshNode* node, auto* actions) {
                          node->OnPlatformRead(result, m_now, actions);
                        });
             });
  }

  SeededRandom m_random;
  std::chrono::microseconds m_delay;
  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_order = 0;
  std::uint64_t m_instance_revision = 0;
  std::priority_queue<Event> m_events;
  std::deque<Connection> m_connections;
  std::vector<PendingRead> m_pending_reads;
  std::vector<std::function<void()>> m_undelivered;
  std::map<DocumentKind, VersionedDocument> m_published_documents;
  std::map<DocumentKind, VersionedDocument> m_stale_documents;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BENCH_MESHNETWORK_H_
