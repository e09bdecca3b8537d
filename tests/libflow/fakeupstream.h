#ifndef FIREFLYTRESTLE_TESTS_LIBFLOW_FAKEUPSTREAM_H_
#define FIREFLYTRESTLE_TESTS_LIBFLOW_FAKEUPSTREAM_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowpacket.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

struct TupleLess {
  bool operator()(const FlowTuple& a, const FlowTuple& b) const {
    return std::pair(a.caller, a.route) < std::pair(b.caller, b.route);
  }
};

/// \brief An upstream with a few slots and a queue. A data packet is a request,
/// its answer another data packet.
class FakeUpstream {
 public:
  /// \p number separates the ranges of sequence numbers of different upstreams.
  FakeUpstream(std::uint32_t slots, std::uint32_t number)
      : m_slots(slots), m_last_sequence(number * 1'000'000) {}

  /// Returns the packets that the upstream sends at once in answer.
  std::vector<FlowPacket> OnPacket(const FlowPacket& packet, TimePoint now) {
    const FlowTuple tuple{packet.source, packet.destination};
    if (unresponsive) {
      return {};
    }
    if (packet.IsOpening()) {
      if (bounces_syns) {
        return {Bounce(packet)};
      }
      opened.push_back(now);
      m_half_open[tuple] = m_last_sequence += 1000;
      return {Answer(packet, true, m_half_open[tuple])};
    }
    const auto half = m_half_open.find(tuple);
    if (half != m_half_open.end() &&
        packet.acknowledgment - half->second <= 1) {
      flows.insert(tuple);
      m_sequences[tuple] = half->second;
      m_half_open.erase(half);
    }
    const bool other_flow =
        packet.acknowledgment - m_sequences[tuple] > kMaxFlowBytes;
    if (!flows.contains(tuple) || other_flow) {
      if (resets_unknown) {
        FlowPacket reset = Answer(packet, false, 0);
        reset.reset = true;
        return {reset};
      }
      return {Bounce(packet)};
    }
    if (packet.data_bytes > 0 && resets_requests) {
      flows.erase(tuple);
      FlowPacket reset = Answer(packet, false, 0);
      reset.reset = true;
      return {reset};
    }
    if (packet.data_bytes > 0) {
      m_queue.push_back({packet, now});
      max_queue_length = std::max(max_queue_length, m_queue.size());
    }
    return {};
  }

  /// Returns the answers that are ready by \p now.
  std::vector<FlowPacket> OnTick(TimePoint now) {
    std::vector<FlowPacket> answers;
    if (unresponsive) {
      return answers;
    }
    while (!m_running.empty() && m_running.begin()->first <= now) {
      const FlowPacket request = m_running.begin()->second;
      m_running.erase(m_running.begin());
      FlowPacket answer = Answer(request, false, request.acknowledgment);
      answer.data_bytes = 1;
      answers.push_back(answer);
      ++answered;
    }
    while (!m_queue.empty() && m_running.size() < m_slots) {
      m_running.emplace(now + work, m_queue.front().packet);
      started.push_back(m_queue.front().packet);
      m_queue.pop_front();
    }
    return answers;
  }

  /// Simulates that the process ends and a new one starts.
  void Restart() {
    flows.clear();
    m_half_open.clear();
    m_queue.clear();
    m_running.clear();
    unresponsive = false;
  }

  Duration work = std::chrono::milliseconds(20);
  bool unresponsive = false;
  bool bounces_syns = false;
  /// Answers packets of flows that it does not hold with a reset, as an
  /// upstream does that is about to end.
  bool resets_unknown = false;
  /// Resets a flow when it receives a request in it.
  bool resets_requests = false;
  std::set<FlowTuple, TupleLess> flows;
  std::vector<TimePoint> opened;
  std::vector<FlowPacket> started;
  std::size_t answered = 0;
  std::size_t max_queue_length = 0;

 private:
  /// A packet that acknowledges more than this belongs to another flow.
  static constexpr std::uint32_t kMaxFlowBytes = 500'000;

  struct QueuedRequest {
    FlowPacket packet;
    TimePoint since;
  };

  static FlowPacket Bounce(FlowPacket packet) {
    packet.bounced = true;
    return packet;
  }

  static FlowPacket Answer(const FlowPacket& to,
                           bool syn,
                           std::uint32_t sequence) {
    FlowPacket packet;
    packet.source = to.destination;
    packet.destination = to.source;
    packet.syn = syn;
    packet.ack = true;
    packet.sequence = sequence;
    packet.acknowledgment = to.sequence + 1;
    return packet;
  }

  std::uint32_t m_slots;
  std::uint32_t m_last_sequence;
  std::map<FlowTuple, std::uint32_t, TupleLess> m_half_open;
  /// Own first sequence number of each flow.
  std::map<FlowTuple, std::uint32_t, TupleLess> m_sequences;
  std::deque<QueuedRequest> m_queue;
  std::multimap<TimePoint, FlowPacket> m_running;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBFLOW_FAKEUPSTREAM_H_
