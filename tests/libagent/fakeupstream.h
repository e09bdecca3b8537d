#ifndef FIREFLYTRESTLE_TESTS_LIBAGENT_FAKEUPSTREAM_H_
#define FIREFLYTRESTLE_TESTS_LIBAGENT_FAKEUPSTREAM_H_

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libagent/agentaction.h"
#include "libbase/clock.h"

namespace fireflytrestle {

using Bytes = std::vector<std::uint8_t>;

inline Bytes ToBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

/// \brief Simulates an upstream on a manual clock. Counts the runs of each
/// request body and records the connections and running requests. A cancelled
/// request never runs, even if it arrives after the cancel on another
/// connection.
class FakeUpstream {
 public:
  using Delivery = std::pair<ConnectionId, UpstreamMessage>;

  void Open(ConnectionId id, TimePoint now) {
    if (refuses_connections) {
      closed.push_back(id);
      return;
    }
    connections.insert(id);
    opened.push_back(now);
    m_outgoing.emplace_back(id, UpstreamHello{identity, false});
  }

  void Receive(ConnectionId id, const UpstreamMessage& message, TimePoint now) {
    if (stalled.contains(id)) {
      m_delayed.emplace(now + std::chrono::seconds(4), Delivery(id, message));
    } else if (connections.contains(id) && !silent.contains(id)) {
      Process(id, message, now);
    }
  }

  /// Processes delayed messages, completes the requests that are due and
  /// returns the messages that reach the agent.
  std::vector<Delivery> Step(TimePoint now) {
    for (; !m_delayed.empty() && m_delayed.begin()->first <= now;
         m_delayed.erase(m_delayed.begin())) {
      Process(m_delayed.begin()->second.first, m_delayed.begin()->second.second,
              now);
    }
    const auto done =
        std::stable_partition(running.begin(), running.end(),
                              [now](const Run& run) { return run.ends > now; });
    std::for_each(done, running.end(),
                  [this](const Run& run) { SendResponse(run, true); });
    running.erase(done, running.end());
    for (auto& [number, feed] : m_feeds) {
      while (feed.second < last_event) {
        const Bytes body = ToBytes("event " + std::to_string(++feed.second));
        m_outgoing.emplace_back(feed.first,
                                UpstreamEvent{number, feed.second, body});
      }
    }
    std::erase_if(m_outgoing, [this](const Delivery& out) {
      return !connections.contains(out.first) || silent.contains(out.first) ||
             stalled.contains(out.first);
    });
    return std::exchange(m_outgoing, {});
  }

  /// Simulates a restart of the process: all connections, requests and records
  /// are lost and the start identity changes.
  void Restart(TimePoint now) {
    ++identity;
    started = now;
    opened.clear();
    running.clear();
    m_cancelled.clear();
    m_started.clear();
    m_delayed.clear();
    BreakAll();
  }
  void BreakAll() {
    while (!connections.empty()) {
      Break(*connections.rbegin());
    }
  }
  void Break(ConnectionId id) {
    if (connections.erase(id) != 0) {
      closed.push_back(id);
      std::erase_if(m_feeds,
                    [id](const auto& feed) { return feed.second.first == id; });
    }
  }

  /// Largest number of connections opened within any one second.
  std::size_t PeakOpenRate() const {
    std::size_t peak = 0;
    for (std::size_t i = 0, first = 0; i < opened.size(); ++i) {
      while (opened[first] + std::chrono::seconds(1) <= opened[i]) {
        ++first;
      }
      peak = std::max(peak, i - first + 1);
    }
    return peak;
  }

  struct Run {
    ConnectionId connection{};
    UpstreamRequest request;
    TimePoint ends;
  };

  std::uint64_t identity = 100;
  bool draining = false;
  bool refuses_connections = false;
  int shed_next = 0;
  std::chrono::milliseconds service_time{30};
  std::size_t document_bytes = 2500;
  std::uint32_t last_event = 0;
  TimePoint started{};
  std::set<ConnectionId> connections;
  /// Connections that lose all messages in both directions.
  std::set<ConnectionId> silent;
  /// Connections that lose messages from the upstream and delay messages from
  /// the agent by 4 s.
  std::set<ConnectionId> stalled;
  std::vector<ConnectionId> closed;
  std::vector<TimePoint> opened;
  std::vector<Run> running;
  std::map<std::string, int> runs;
  std::vector<UpstreamRequest> requests;
  /// Called after each start of a request.
  std::function<void()> on_run = [] {};

 private:
  void Process(ConnectionId id, const UpstreamMessage& message, TimePoint now) {
    if (std::holds_alternative<UpstreamPing>(message)) {
      m_outgoing.emplace_back(id, UpstreamPong{identity, draining});
    } else if (const auto* cancel = std::get_if<UpstreamCancel>(&message)) {
      m_feeds.erase(cancel->number);
      m_cancelled.insert(cancel->number);
      std::erase_if(running, [cancel](const Run& run) {
        return run.request.number == cancel->number;
      });
      m_outgoing.emplace_back(
          id, UpstreamCancelled{cancel->number,
                                m_started.contains(cancel->number)});
    } else if (const auto* request = std::get_if<UpstreamRequest>(&message)) {
      StartRequest(id, *request, now);
    }
  }

  void StartRequest(ConnectionId id,
                    const UpstreamRequest& request,
                    TimePoint now) {
    if (m_cancelled.contains(request.number)) {
      return;
    }
    requests.push_back(request);
    if (request.kind == RequestKind::kFeed) {
      m_feeds[request.number] = {id, request.resume_after};
    } else if (shed_next > 0) {
      --shed_next;
      m_outgoing.emplace_back(id, UpstreamShed{request.number});
    } else {
      m_started.insert(request.number);
      ++runs[std::string(request.body.begin(), request.body.end())];
      running.push_back({id, request, now + service_time});
      SendResponse(running.back(), false);
      on_run();
    }
  }

  /// Sends the second half of the response if \p last is set, otherwise the
  /// first half. The first half is sent when the request starts.
  void SendResponse(const Run& run, bool last) {
    const UpstreamRequest& request = run.request;
    Bytes body = request.body;
    if (request.kind == RequestKind::kDocument) {
      body.resize(document_bytes, '.');
    }
    const auto middle = body.begin() + static_cast<long>(body.size() / 2);
    const Bytes half(last ? middle : body.begin(), last ? body.end() : middle);
    m_outgoing.emplace_back(
        run.connection,
        UpstreamPart{request.number, request.attempt, half, last});
  }

  std::multimap<TimePoint, Delivery> m_delayed;
  std::vector<Delivery> m_outgoing;
  std::map<std::uint64_t, std::pair<ConnectionId, std::uint32_t>> m_feeds;
  std::set<std::uint64_t> m_cancelled;
  std::set<std::uint64_t> m_started;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBAGENT_FAKEUPSTREAM_H_
