#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libflow/agenttable.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief What a balancer knows of one flow.
struct FlowEntry {
  enum class State : std::uint8_t {
    /// A SYN was sent to \ref owner, and before to the agents of \ref asked,
    /// which have not handed it back.
    kOpening,
    /// \ref owner holds the flow.
    kOpen,
    /// The agents of \ref asked have not said yet whether they hold it.
    kSearching,
  };

  State state = State::kOpening;
  FlowClass flow_class;
  /// Packets of the caller came through this balancer.
  bool has_caller_packets = false;
  /// Sequence number of the SYN, to tell a copy from a reused port.
  std::uint32_t syn_sequence = 0;
  /// Last acknowledgment of the caller; a reset must lie near it.
  std::uint32_t acknowledgment = 0;
  std::uint8_t placements = 0;
  AgentPeerPtr owner;
  std::vector<AgentPeerPtr> pending_agents;
  /// Agents that handed the SYN back.
  std::vector<AgentPeerPtr> refused_by;
  TimePoint placed{};
  TimePoint last_packet{};
};

/// \brief The flows that a balancer knows: those that it opened, and those that
/// agents told of. Soft state, bounded in size.
class FlowOwnerTable {
 public:
  /// 200,000 entries take about 40 MB.
  static constexpr std::size_t kMaxFlows = 200'000;

  /// Returns null for an unknown flow. Valid until the next change.
  FlowEntry* Find(const FlowTuple& tuple);

  /// Returns the entry of the flow, a new one if there was none. Null if the
  /// directory is full.
  FlowEntry* Add(const FlowTuple& tuple);

  void Erase(const FlowTuple& tuple) { m_flows.erase(tuple); }

  /// Forgets flows without a packet since \p before.
  void EraseIdle(TimePoint before);

  std::size_t size() const { return m_flows.size(); }

  std::unordered_map<FlowTuple, FlowEntry, FlowTupleHash>& flows() {
    return m_flows;
  }

 private:
  std::unordered_map<FlowTuple, FlowEntry, FlowTupleHash> m_flows;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_
