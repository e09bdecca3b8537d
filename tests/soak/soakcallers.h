#ifndef FIREFLYTRESTLE_TESTS_SOAK_SOAKCALLERS_H_
#define FIREFLYTRESTLE_TESTS_SOAK_SOAKCALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/seededrandom.h"
#include "libflow/flowpacket.h"
#include "libflow/flowtuple.h"
#include "soak/soakpayload.h"

namespace fireflytrestle {

class UdpSocket;

/// \brief Callers on real sockets: long-lived feeds that pause for 50 to 350 ms
/// between requests, and orders with one flow each. They retransmit unanswered
/// packets and time out as the callers of users do.
class SoakCallers {
 public:
  /// Time within which callers expect an answer.
  static constexpr std::chrono::milliseconds kLatencyObjective{200};

  struct Route {
    SocketAddress address;
    std::uint64_t service = 0;
    /// A flow carries many requests, which are safe to repeat.
    bool feed = false;
  };

  struct Callbacks {
    /// Returns the address of the balancer that receives a packet of the flow.
    std::function<SocketAddress(const FlowTuple&, const FlowPacket&)> route;
    /// The process at \p sender has sent a reset for the flow.
    std::function<void(const FlowTuple&, const SocketAddress& sender)> on_reset;
    /// An answer has arrived that belongs to no request of the flow.
    std::function<void(const FlowTuple&)> on_mismatched_answer;
  };

  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Requests answered within the latency objective.
    std::uint64_t in_time = 0;
    /// The orders among all of these.
    std::uint64_t orders = 0;
    std::uint64_t failed_orders = 0;
    std::uint64_t orders_in_time = 0;
  };

  /// Binds one socket to each of \p addresses.
  SoakCallers(const std::vector<SocketAddress>& addresses,
              std::uint64_t seed,
              Callbacks callbacks);
  ~SoakCallers();

  bool AreBound() const;
  void Start(const Route& route, TimePoint now);
  void Run(TimePoint now);
  /// Lets half of the feeds be idle for seconds after each answer.
  void SetIdleFeeds(bool idle) { m_has_idle_feeds = idle; }

  const Counts& counts() const { return m_counts; }

 private:
  struct Flow {
    Route route;
    std::uint32_t syn_sequence = 0;
    /// Initial sequence number of the upstream; 0 until its SYN-ACK arrives.
    std::uint32_t upstream_sequence = 0;
    std::uint32_t requests = 0;
    int attempts = 0;
    SoakPayload payload;
    bool awaits_answer = true;
    TimePoint started_at;
    TimePoint next_send;
    std::chrono::milliseconds retransmit_delay{0};
  };

  void Open(Flow flow, TimePoint now);
  /// Counts a request without an answer; a feed starts again after a pause.
  void CountFailure(const Route& route, TimePoint now);
  void SendNextRequest(const FlowTuple& tuple, Flow* flow, TimePoint now);
  void SendOrRetransmit(const FlowTuple& tuple, Flow* flow, TimePoint now);
  void OnPacket(const SocketAddress& sender,
                const FlowPacket& packet,
                const SoakPayload& payload,
                TimePoint now);
  void Send(const FlowTuple& tuple, const FlowPacket& packet, const Flow& flow);

  SeededRandom m_random;
  Callbacks m_callbacks;
  std::vector<std::unique_ptr<UdpSocket>> m_sockets;
  std::uint32_t m_last_port = 1024;
  std::uint64_t m_last_request = 0;
  std::unordered_map<FlowTuple, Flow, FlowTupleHash> m_flows;
  /// Feeds without a flow, and when each starts again.
  std::vector<std::pair<TimePoint, Route>> m_paused_feeds;
  bool m_has_idle_feeds = false;
  Counts m_counts;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKCALLERS_H_
