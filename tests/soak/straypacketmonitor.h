#ifndef FIREFLYTRESTLE_TESTS_SOAK_STRAYPACKETMONITOR_H_
#define FIREFLYTRESTLE_TESTS_SOAK_STRAYPACKETMONITOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "libbase/clock.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief Finds open flows whose packets arrive at other upstreams, while their
/// own upstream gets none of them.
///
/// A packet that arrives at three other upstreams counts three times. Spans of
/// time may begin right after an arrival at the own upstream and end right
/// before one. A flow counts from the moment when it is open at its upstream.
class StrayPacketMonitor {
 public:
  /// A flow is broken when its own upstream gets no packet for this time, while
  /// other upstreams get at least this many.
  static constexpr std::chrono::milliseconds kFlowTime{2000};
  static constexpr std::size_t kMinStrayPackets = 3;

  struct Finding {
    FlowTuple tuple;
    /// Instance beside the flow's own upstream.
    std::size_t owner = 0;
    std::size_t stray_packets = 0;
  };

  /// Returns whether there was no unplanned fault on an instance recently.
  using InTouch = std::function<bool(std::size_t instance)>;

  explicit StrayPacketMonitor(InTouch is_in_touch)
      : m_is_in_touch(std::move(is_in_touch)) {}

  /// Records that a caller has sent a packet of a flow to \p balancer. Arrivals
  /// of a packet count only while all balancers that got it are in touch.
  void OnSent(const FlowTuple& tuple,
              std::uint32_t sequence,
              std::size_t balancer,
              TimePoint now);

  /// Records a packet at the flow's own upstream, where the flow is open or
  /// opens with this packet.
  void OnOwnArrival(const FlowTuple& tuple, TimePoint now);

  /// Records a packet at another upstream than the one beside \p owner, where
  /// the flow is open.
  void OnStrayArrival(const FlowTuple& tuple,
                      std::uint32_t sequence,
                      std::size_t owner,
                      TimePoint now);

  /// Returns the flows found since the last call, each once until its own
  /// upstream gets a packet again. Must be called more often than every
  /// kFlowTime; a span ends at the time of a call or of an arrival.
  std::vector<Finding> TakeFindings(TimePoint now);

  /// Number of packets of open flows that arrived at other upstreams.
  std::size_t stray_packets() const { return m_stray_packets; }
  /// The largest number of them in a span in which the flow's own upstream got
  /// none.
  std::size_t most_stray_packets() const { return m_most_stray_packets; }

 private:
  struct SentPacket {
    TimePoint at;
    std::uint32_t sequence = 0;
    std::size_t balancer = 0;
  };

  struct StrayArrival {
    TimePoint at;
    std::uint32_t sequence = 0;
  };

  struct Flow {
    std::size_t owner = 0;
    /// Last arrival at the own upstream.
    TimePoint last_own{};
    /// Last event of the flow.
    TimePoint last_event{};
    std::deque<SentPacket> sent;
    /// Recent arrivals at other upstreams that count.
    std::deque<StrayArrival> strays;
    bool is_reported = false;
  };

  bool AreBalancersInTouch(const Flow& flow, std::uint32_t sequence) const;
  /// Checks the span that ends at \p now.
  void CheckSpan(const FlowTuple& tuple, Flow* flow, TimePoint now);
  void RemoveOldFlows(TimePoint now);

  InTouch m_is_in_touch;
  std::unordered_map<FlowTuple, Flow, FlowTupleHash> m_flows;
  /// Flows with stray arrivals.
  std::unordered_set<FlowTuple, FlowTupleHash> m_stray_flows;
  std::vector<Finding> m_findings;
  TimePoint m_last_removal{};
  std::size_t m_stray_packets = 0;
  std::size_t m_most_stray_packets = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_STRAYPACKETMONITOR_H_
