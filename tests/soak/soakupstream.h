#ifndef FIREFLYTRESTLE_TESTS_SOAK_SOAKUPSTREAM_H_
#define FIREFLYTRESTLE_TESTS_SOAK_SOAKUPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "libbase/clock.h"
#include "libflow/flowpacket.h"
#include "libflow/flowtuple.h"
#include "soak/soakpayload.h"

namespace fireflytrestle {

class UdpSocket;

/// \brief An upstream on a real socket, with a limited number of slots and a
/// short queue. It accepts flows, runs each request of a flow once, and bounces
/// packets of unknown flows.
class SoakUpstream {
 public:
  struct Observer {
    std::function<void(const FlowPacket&)> on_opening;
    /// Called with a packet that is no SYN, and with whether the upstream holds
    /// its flow.
    std::function<void(const FlowPacket&, bool holds_flow)> on_flow_packet;
    std::function<void(const SoakPayload&)> on_run;
  };

  /// \p number selects the range of sequence numbers, so that ranges of
  /// upstreams do not overlap.
  SoakUpstream(const SocketAddress& address,
               const SocketAddress& outbound,
               std::uint32_t number,
               Observer observer);
  ~SoakUpstream();

  bool IsBound() const { return m_socket != nullptr; }
  void Run(TimePoint now);

  /// Drops all flows and requests, as after a restart of the process.
  void Restart();

  /// While it is down, the upstream takes no packet and has no flows.
  void SetDown(bool down);

  /// Sets the work of the requests that begin from now on.
  void SetWork(std::chrono::milliseconds work) { m_work = work; }

  /// Whether the caller has completed the handshake of the flow.
  bool HasOpenFlow(const FlowTuple& tuple) const;

 private:
  struct Flow {
    std::uint32_t sequence = 0;
    bool open = false;
    /// Sequence number of the last request, whether its answer has been sent,
    /// and the payload of both.
    std::optional<std::uint32_t> request_sequence;
    bool answered = false;
    SoakPayload payload;
  };

  struct Job {
    TimePoint done;
    FlowTuple tuple;
    std::uint32_t request_sequence = 0;
  };

  void OnPacket(const FlowPacket& packet,
                const SoakPayload& payload,
                TimePoint now);
  void ProcessQueue(TimePoint now);
  void SendAnswer(const FlowTuple& tuple, const Flow& flow);
  void Send(const FlowPacket& packet, std::span<const std::uint8_t> data = {});

  SocketAddress m_outbound;
  std::chrono::milliseconds m_work{10};
  std::uint32_t m_last_sequence;
  Observer m_observer;
  std::unique_ptr<UdpSocket> m_socket;
  bool m_down = false;
  std::unordered_map<FlowTuple, Flow, FlowTupleHash> m_flows;
  std::deque<std::pair<FlowTuple, std::uint32_t>> m_queue;
  std::deque<Job> m_running;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKUPSTREAM_H_
