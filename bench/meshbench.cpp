// Measures the cost of distributing the configuration and prints CSV.
//
// meshbench slopes [max balancers]    mesh, polling and gossip, by fleet size
// meshbench failures [max balancers]  the mesh during common failures
// meshbench sizes                     documents, by number of targets
//
// Without a limit, fleets have at most 200 balancers.

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <set>

#include "libconfig/documentstore.h"
#include "libmesh/meshview.h"
#include "meshnetwork.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kRegions = 5;
constexpr std::uint64_t kZones = 15;
constexpr double kLeavesPerBalancer = 8600.0 / 1100.0;
constexpr std::size_t kFleetSizes[] = {10, 50, 200, 1000, 1100};
constexpr std::uint64_t kHeaderBytes = MeshNetwork::kHeaderBytes;
/// Bytes of a platform read that finds no newer document: the HTTP headers of
/// request and response, and the headers of four TCP segments.
constexpr std::uint64_t kEmptyReadBytes = 350 + 4 * kHeaderBytes;

std::size_t LeafCount(std::size_t balancers) {
  return static_cast<std::size_t>(kLeavesPerBalancer *
                                  static_cast<double>(balancers));
}

VersionedDocument SmallConfiguration(std::uint64_t revision) {
  Configuration configuration;
  configuration.revision = Revision(revision);
  for (std::uint16_t zone = 1; zone <= kZones; ++zone) {
    configuration.zones.push_back({ZoneId(zone), "zone-" + std::to_string(zone),
                                   "region-" + std::to_string(zone % kRegions),
                                   zone == 1 + revision % kZones});
  }
  return ToDocument(configuration);
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the highest number of platform calls in one second since \p from.
int MaxCallsPerSecond(const MeshNetwork& network, TimePoint from) {
  int most = 0;
  for (const auto& [second, calls] : network.calls) {
    if (TimePoint(seconds(second)) >= from) {
      most = std::max(most, calls);
    }
  }
  return most;
}

/// \brief A running mesh of balancers and agents. The published instance list
/// contains only the balancers.
class MeshFleet {
 public:
  explicit MeshFleet(std::size_t balancers)
      : network(20261204), m_balancers(balancers) {
    const std::size_t process_count = balancers + LeafCount(balancers);
    for (std::size_t i = 0; i < process_count; ++i) {
      network.Add(i >= balancers, "region-" + std::to_string(i % kRegions),
                  "zone-" + std::to_string(i % kZones));
    }
    network.Publish(DocumentKind::kConfiguration, SmallConfiguration(1));
    network.PublishInstances(
        [](const auto& process) { return !process.settings.leaf; });
    const std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < process_count; ++i) {
      network.Start(i);
    }
    network.Run(seconds(40));
    memory = (mallinfo2().uordblks - before) / process_count;
    network.after_call = [this](std::size_t i) { RecordProcessState(i); };
  }

  /// Publishes the next revision, runs the network for \p run, and returns for
  /// each process that installed the revision the time from publication to
  /// installation in ms, in ascending order.
  std::vector<double> PublishAndMeasure(Duration run) {
    m_installed_at.clear();
    m_published = network.now();
    network.Publish(DocumentKind::kConfiguration,
                    SmallConfiguration(++m_revision));
    network.Run(run);
    return PropagationTimes();
  }

  std::vector<double> PropagationTimes() const {
    std::vector<double> times;
    for (const auto& [index, time] : m_installed_at) {
      times.push_back(Milliseconds(time - m_published));
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  void SetService(MeshNetwork::Service service, std::size_t every = 1) {
    for (std::size_t i = 0; i < network.processes.size(); i += every) {
      network.processes[i].service = service;
    }
  }

  std::size_t CountLeaseHolders() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < network.processes.size(); ++i) {
      count += network.Holds(i) ? 1 : 0;
    }
    return count;
  }

  void ResetTraffic() {
    for (MeshNetwork::Process& process : network.processes) {
      process.traffic = {};
      process.processor = {};
    }
    without_lease.clear();
  }

  void PrintSlope(bool leaf,
                  double time,
                  double calls,
                  int most_calls,
                  const std::vector<double>& spread,
                  double change_bytes) const {
    double messages = 0;
    double bytes = 0;
    double most_bytes = 0;
    double processor = 0;
    double links = 0;
    std::size_t count = 0;
    for (const MeshNetwork::Process& process : network.processes) {
      if (process.settings.leaf != leaf) {
        continue;
      }
      ++count;
      messages += static_cast<double>(process.traffic.messages);
      bytes += static_cast<double>(process.traffic.bytes);
      most_bytes = std::max(most_bytes,
                            static_cast<double>(process.traffic.bytes) / time);
      processor += Milliseconds(process.processor);
      links += static_cast<double>(process.links.size());
    }
    const double nodes = static_cast<double>(count);
    std::printf(
        "mesh,%zu,%zu,%s,%.1f,%.0f,%.0f,%.3f,%.1f,%zu,%.0f,%.0f,%.1f,%d,%.0f\n",
        m_balancers, network.processes.size() - m_balancers,
        leaf ? "agent" : "balancer", messages / nodes / time,
        bytes / nodes / time, most_bytes, processor / nodes / time,
        links / nodes, memory / 1024, spread[spread.size() / 2], spread.back(),
        calls, most_calls, change_bytes);
    std::fflush(stdout);
  }

  MeshNetwork network;
  std::size_t memory = 0;
  /// Processes that lacked a lease after at least one of their calls since the
  /// last reset.
  std::set<std::size_t> without_lease;

 private:
  void RecordProcessState(std::size_t index) {
    if (network.RevisionOf(index) == Revision(m_revision)) {
      m_installed_at.try_emplace(index, network.now());
    }
    if (!network.Holds(index)) {
      without_lease.insert(index);
    }
  }

  std::size_t m_balancers;
  std::uint64_t m_revision = 1;
  TimePoint m_published;
  std::map<std::size_t, TimePoint> m_installed_at;
};

void MeasureMesh(std::size_t balancers) {
  MeshFleet fleet(balancers);
  fleet.ResetTraffic();
  fleet.network.measure_processor = true;
  const TimePoint from = fleet.network.now();
  constexpr seconds kSteadyDuration{20};
  fleet.network.Run(kSteadyDuration);
  const int most_calls = MaxCallsPerSecond(fleet.network, from);
  double calls = 0;
  for (const auto& [second, count] : fleet.network.calls) {
    calls += TimePoint(seconds(second)) >= from ? count : 0;
  }
  std::vector<MeshNetwork::Traffic> steady;
  for (const auto& process : fleet.network.processes) {
    steady.push_back(process.traffic);
  }
  fleet.network.measure_processor = false;
  constexpr seconds kChangeDuration{4};
  const std::vector<double> spread = fleet.PublishAndMeasure(kChangeDuration);
  const double time = static_cast<double>(kSteadyDuration.count());
  // Bytes that a change adds to the steady traffic, for balancers and agents.
  double change[2] = {0, 0};
  double count[2] = {0, 0};
  for (std::size_t i = 0; i < steady.size(); ++i) {
    MeshNetwork::Process& process = fleet.network.processes[i];
    const double before = static_cast<double>(steady[i].bytes);
    const double during = static_cast<double>(process.traffic.bytes) - before;
    const std::size_t role = process.settings.leaf ? 1 : 0;
    change[role] +=
        during - before / time * static_cast<double>(kChangeDuration.count());
    count[role] += 1;
    process.traffic = steady[i];
  }
  fleet.PrintSlope(false, time, calls / time, most_calls, spread,
                   change[0] / count[0]);
  fleet.PrintSlope(true, time, calls / time, most_calls, spread,
                   change[1] / count[1]);
}

/// Computes the cost of polling: every process reads both documents from the
/// platform itself every 3 s, so that a change is in effect within 4 s.
void MeasurePolling(std::size_t balancers) {
  const std::size_t process_count = balancers + LeafCount(balancers);
  constexpr double kInterval = 3.0;
  SeededRandom random(1);
  const VersionedDocument document = SmallConfiguration(1);
  const std::string text = WriteDocument(document);
  std::vector<double> spread;
  std::map<int, int> calls;
  for (std::size_t i = 0; i < process_count; ++i) {
    const double first = static_cast<double>(random.Below(3000)) / 1000.0;
    spread.push_back(first * 1000 + 2);
    for (double at = first; at < 30; at += kInterval) {
      ++calls[static_cast<int>(at)];
    }
  }
  std::sort(spread.begin(), spread.end());
  int most = 0;
  for (const auto& [second, count] : calls) {
    most = std::max(most, count);
  }
  // Each poll reads two documents.
  const double reads = 2 / kInterval;
  std::printf("poll,%zu,%zu,any,%.1f,%.0f,%.0f,,1.0,,%.0f,%.0f,%.1f,%d,\n",
              balancers, process_count - balancers, 2 * reads,
              reads * static_cast<double>(kEmptyReadBytes),
              reads * static_cast<double>(kEmptyReadBytes),
              spread[process_count / 2], spread.back(),
              2 * static_cast<double>(process_count) / kInterval, 2 * most);
}

/// Simulates gossip among all processes: each process exchanges versions with
/// one random process every second and forwards a new revision immediately to 4
/// random processes. Watchers read from the platform as in the mesh.
void MeasureGossip(std::size_t balancers) {
  const std::size_t process_count = balancers + LeafCount(balancers);
  constexpr std::size_t kFanOut = 4;
  SeededRandom random(2);
  const auto heartbeat = EncodeMeshMessage(MeshHeartbeat{
      100, {Revision(9000), ~0ULL, Revision(9000), ~0ULL}, milliseconds(900)});
  const auto answer = EncodeMeshMessage(
      MeshHeartbeatAnswer{100,
                          {Revision(9000), ~0ULL, Revision(9000), ~0ULL},
                          milliseconds(900),
                          true,
                          {}});
  // Each exchange opens and closes a link, which takes seven more segments:
  // keeping links open would need one link to every process.
  const double exchange =
      static_cast<double>(heartbeat.size() + answer.size() + 8 +
                          3 * kHeaderBytes + 7 * kHeaderBytes);
  std::vector<std::uint64_t> exchanges(process_count);
  constexpr int kRounds = 20;
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < process_count; ++i) {
      ++exchanges[i];
      ++exchanges[random.Below(process_count)];
      if (!DecodeMeshMessage(EncodeMeshMessage(MeshHeartbeat{
              static_cast<std::uint64_t>(round), {}, milliseconds(1)}))) {
        std::abort();
      }
    }
  }
  const double processor =
      Milliseconds(std::chrono::steady_clock::now() - begin) * 2 / kRounds /
      static_cast<double>(process_count);
  // Propagation of a change: a push takes 1 ms of network delay after a
  // handshake of 2 ms. A process that no push reaches gets the change by an
  // exchange of versions.
  std::vector<double> reached_at_ms(process_count, -1);
  std::multimap<double, std::size_t> pushes{{0.0, 0}};
  std::vector<double> next_exchange(process_count);
  for (double& at : next_exchange) {
    at = static_cast<double>(random.Below(1000));
  }
  std::size_t reached_count = 0;
  double now = 0;
  const auto deliver_pushes = [&](double until) {
    while (!pushes.empty() && pushes.begin()->first <= until) {
      const auto [at, index] = *pushes.begin();
      pushes.erase(pushes.begin());
      if (reached_at_ms[index] >= 0) {
        continue;
      }
      reached_at_ms[index] = at;
      ++reached_count;
      for (std::size_t i = 0; i < kFanOut; ++i) {
        pushes.emplace(at + 3, random.Below(process_count));
      }
    }
  };
  while (reached_count < process_count) {
    deliver_pushes(now);
    for (std::size_t i = 0; i < process_count; ++i) {
      if (next_exchange[i] > now) {
        continue;
      }
      next_exchange[i] += 1000;
      const std::size_t peer = random.Below(process_count);
      if ((reached_at_ms[i] >= 0) != (reached_at_ms[peer] >= 0)) {
        pushes.emplace(now + 4, reached_at_ms[i] >= 0 ? peer : i);
      }
    }
    now += 1;
  }
  std::sort(reached_at_ms.begin(), reached_at_ms.end());
  const auto most = *std::max_element(exchanges.begin(), exchanges.end());
  const double mean = 2.0;
  std::printf("gossip,%zu,%zu,any,%.1f,%.0f,%.0f,%.3f,%.1f,,%.0f,%.0f,22.5,,\n",
              balancers, process_count - balancers, 2 * mean, mean * exchange,
              static_cast<double>(most) / kRounds * exchange, processor, mean,
              reached_at_ms[process_count / 2], reached_at_ms.back());
}

void PrintFailure(const char* failure,
                  std::size_t balancers,
                  const MeshFleet& fleet,
                  const std::vector<double>& spread,
                  int most_calls) {
  std::printf("%s,%zu,%zu,%zu,%zu,%zu,%.0f,%.0f,%d\n", failure, balancers,
              fleet.network.processes.size() - balancers,
              fleet.CountLeaseHolders(), fleet.without_lease.size(),
              spread.size(), spread.empty() ? -1 : spread[spread.size() / 2],
              spread.empty() ? -1 : spread.back(), most_calls);
  std::fflush(stdout);
}

void MeasureFailures(std::size_t balancers) {
  MeshFleet fleet(balancers);
  MeshNetwork& network = fleet.network;
  const std::size_t process_count = network.processes.size();
  const auto report = [&](const char* failure, TimePoint from,
                          const std::vector<double>& spread) {
    PrintFailure(failure, balancers, fleet, spread,
                 MaxCallsPerSecond(network, from));
    fleet.without_lease.clear();
  };
  network.Run(seconds(10));
  fleet.without_lease.clear();

  TimePoint from = network.now();
  fleet.SetService(MeshNetwork::Service::kDown);
  network.Run(seconds(60));
  report("service down 60 s", from, {});
  from = network.now();
  fleet.SetService(MeshNetwork::Service::kUp);
  report("service returns with a change", from,
         fleet.PublishAndMeasure(seconds(12)));

  from = network.now();
  fleet.SetService(MeshNetwork::Service::kDown);
  for (std::size_t i = 3; i < balancers; i += 10) {
    network.processes[i].service = MeshNetwork::Service::kUp;
  }
  network.Run(seconds(30));
  report("service only for a tenth of the balancers", from,
         fleet.PublishAndMeasure(seconds(8)));
  fleet.SetService(MeshNetwork::Service::kUp);
  network.Run(seconds(30));
  fleet.without_lease.clear();

  from = network.now();
  network.SilenceConnections();
  network.Run(seconds(2));
  report("all connections go silent", from,
         fleet.PublishAndMeasure(seconds(8)));

  from = network.now();
  for (std::size_t i = 0; i < process_count; ++i) {
    network.SetGroup(i, i % kRegions == 0 ? 1 : 0);
    network.processes[i].service = i % kRegions == 0
                                       ? MeshNetwork::Service::kDown
                                       : MeshNetwork::Service::kUp;
  }
  network.Run(seconds(60));
  report("one region cut off for 60 s", from,
         fleet.PublishAndMeasure(seconds(8)));
  from = network.now();
  for (std::size_t i = 0; i < process_count; ++i) {
    network.SetGroup(i, 0);
    network.processes[i].service = MeshNetwork::Service::kUp;
  }
  network.Run(seconds(8));
  // The times count from the publication, which took place during the partition
  // and 8 s before its end.
  std::vector<double> healed = fleet.PropagationTimes();
  for (double& time : healed) {
    time = std::max(0.0, time - 8000);
  }
  report("region returns", from, healed);

  from = network.now();
  for (std::size_t i = 1; i < balancers; i += kZones) {
    network.Kill(i, true);
  }
  network.Run(seconds(6));
  report("all balancers of a zone lost", from,
         fleet.PublishAndMeasure(seconds(8)));
  for (std::size_t i = 1; i < balancers; i += kZones) {
    network.Start(i);
  }
  network.Run(seconds(10));
  fleet.without_lease.clear();

  from = network.now();
  for (std::size_t i = 0; i < process_count; ++i) {
    network.Kill(i);
  }
  for (std::size_t i = 0; i < process_count; ++i) {
    network.Start(i);
  }
  report("whole fleet starts at once", from,
         fleet.PublishAndMeasure(seconds(12)));
}

Configuration LargeConfiguration(std::uint32_t targets) {
  Configuration configuration;
  configuration.revision = Revision(9000);
  for (std::uint16_t zone = 1; zone <= kZones; ++zone) {
    configuration.zones.push_back({ZoneId(zone), "zone-" + std::to_string(zone),
                                   "region-" + std::to_string(zone % kRegions),
                                   false});
  }
  const std::uint32_t services = std::max(1U, targets * 2700 / 8600);
  for (std::uint32_t i = 1; i <= services; ++i) {
    configuration.services.push_back(
        {ServiceId(i),
         "service-" + std::to_string(i),
         {0x0a000000 + i, 7000},
         {{"order", RequestKind::kOrder, false},
          {"feed", RequestKind::kFeed, true},
          {"sheet", RequestKind::kDocument, true}}});
  }
  for (std::uint32_t i = 1; i <= targets; ++i) {
    TargetSettings target;
    target.id = TargetId(i);
    target.service = ServiceId(1 + i % services);
    target.zone = ZoneId(static_cast<std::uint16_t>(1 + i % kZones));
    target.agent = {0x0a800000 + i, 7100};
    target.slots = 3;
    target.connections = 2000;
    configuration.targets.push_back(target);
  }
  return configuration;
}

VersionedDocument LargeInstances(std::uint32_t targets) {
  VersionedDocument document;
  document.revision = Revision(9000);
  const std::uint32_t process_count = targets + targets * 1100 / 8600;
  for (std::uint32_t i = 1; i <= process_count; ++i) {
    InstanceRecord record;
    record.id = InstanceId(i);
    record.region = "region-" + std::to_string(i % kRegions);
    record.zone = "zone-" + std::to_string(i % kZones);
    if (i <= targets) {
      record.role = InstanceRecord::Role::kAgent;
      record.target = TargetId(i);
    } else {
      record.mesh_address = {0x0a800000 + i, 7200};
    }
    document.entries.insert(ToEntry(record));
  }
  document.digest = ComputeDigest(document.entries);
  return document;
}

void MeasureSizes() {
  std::printf(
      "document,targets,published_bytes,whole_frame_bytes,delta_frame_bytes,"
      "install_whole_ms,install_delta_ms,memory_kb\n");
  for (const std::uint32_t targets : {100U, 1000U, 4000U, 8600U}) {
    Configuration configuration = LargeConfiguration(targets);
    const VersionedDocument first = ToDocument(configuration);
    configuration.revision = Revision(9001);
    configuration.targets.front().slots = 4;
    const VersionedDocument second = ToDocument(configuration);
    VersionedDocument instances = LargeInstances(targets);
    VersionedDocument after_removal = instances;
    after_removal.revision = Revision(9001);
    after_removal.entries.erase(after_removal.entries.begin());
    after_removal.digest = ComputeDigest(after_removal.entries);
    const std::tuple<const char*, DocumentKind, const VersionedDocument*,
                     const VersionedDocument*>
        rows[] = {
            {"configuration", DocumentKind::kConfiguration, &first, &second},
            {"instances", DocumentKind::kInstances, &instances,
             &after_removal}};
    for (const auto& [name, kind, before, after] : rows) {
      const DocumentDelta delta = ComputeDelta(*before, *after);
      const std::size_t heap = mallinfo2().uordblks;
      MeshView view;
      auto begin = std::chrono::steady_clock::now();
      const auto whole = view.Install(kind, *before);
      const double whole_time =
          Milliseconds(std::chrono::steady_clock::now() - begin);
      const std::size_t memory = mallinfo2().uordblks - heap;
      begin = std::chrono::steady_clock::now();
      const auto step = view.Install(kind, delta);
      const double delta_time =
          Milliseconds(std::chrono::steady_clock::now() - begin);
      if (whole != DocumentStore::Outcome::kInstalled ||
          step != DocumentStore::Outcome::kInstalled) {
        std::fprintf(stderr, "cannot install %s document with %u targets\n",
                     name, targets);
        std::exit(1);
      }
      std::printf("%s,%u,%zu,%zu,%zu,%.2f,%.2f,%zu\n", name, targets,
                  WriteDocument(*before).size(),
                  EncodeMeshMessage(MeshDocument{kind, *before}).size(),
                  EncodeMeshMessage(MeshDelta{kind, delta}).size(), whole_time,
                  delta_time, memory / 1024);
    }
  }
}

}  // namespace

}  // namespace fireflytrestle

int main(int argc, char** argv) {
  using namespace fireflytrestle;
  const char* const mode = argc > 1 ? argv[1] : "";
  const std::size_t most = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 200;
  if (std::strcmp(mode, "sizes") == 0) {
    MeasureSizes();
    return 0;
  }
  const bool slopes = std::strcmp(mode, "slopes") == 0;
  if (!slopes && std::strcmp(mode, "failures") != 0) {
    std::fprintf(stderr,
                 "usage: meshbench slopes|failures [max balancers] | sizes\n");
    return 2;
  }
  std::printf(
      slopes ? "way,balancers,agents,role,messages_per_s,bytes_per_s,"
               "bytes_per_s_max_node,processor_ms_per_s,links,memory_kb,"
               "spread_ms_median,spread_ms_max,service_calls_per_s,"
               "service_calls_max_s,change_bytes\n"
             : "failure,balancers,agents,serving_at_end,lost_lease,reached,"
               "spread_ms_median,spread_ms_max,service_calls_max_s\n");
  for (const std::size_t size : kFleetSizes) {
    if (size > most) {
      break;
    }
    if (!slopes) {
      MeasureFailures(size);
      continue;
    }
    MeasurePolling(size);
    MeasureGossip(size);
    MeasureMesh(size);
  }
  return 0;
}
