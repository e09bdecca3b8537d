#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libflow/agenttable.h"
#include "libflow/flowclass.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

/// \brief State of one flow at a balancer.
struct FlowEntry {
  enum class State : std::uint8_t {
    /// The SYN was last sent to \ref owner, and before to the agents in
    /// \ref pending_agents, which have not returned it.
    kOpening,
    /// \ref owner holds the flow.
    kOpen,
    /// The agents in \ref pending_agents have not yet reported whether their
    /// upstreams hold the flow.
    kSearching,
  };

  State state = State::kOpening;
  FlowClass flow_class;
  /// The flow's packets come from the caller to this balancer, as far as is
  /// known.
  bool has_caller_packets = false;
  /// Sequence number of the SYN; distinguishes a copy of the SYN from a new
  /// flow on a reused port.
  std::uint32_t syn_sequence = 0;
  /// Last acknowledgment number from the caller; the sequence number of a reset
  /// must be close to it.
  std::uint32_t acknowledgment = 0;
  std::uint8_t placements = 0;
  /// The first SYN here was a copy of one that another balancer may have got.
  bool is_syn_copy = false;
  /// Service for which the flow was placed, or that of the agent that reported
  /// it. The agent of a reused address belongs to another service.
  std::string service;
  AgentPeerPtr owner;
  std::vector<AgentPeerPtr> pending_agents;
  /// The search waits for reports of the flow instead of querying agents.
  bool is_deferred = false;
  /// Agents that answered the query without knowing whether their upstreams
  /// hold the flow.
  std::vector<AgentPeerPtr> unsure_agents;
  /// Of these, the ones that have got a packet of the flow.
  std::vector<AgentPeerPtr> probed_agents;
  /// Number of other upstreams that have got packets of the flow through other
  /// balancers.
  std::size_t stray_arrivals = 0;
  /// Agents that a search queries in later stages if no agent queried so far
  /// holds the flow; the next stage is the last element.
  std::vector<std::vector<AgentPeerPtr>> later_stages;
  /// When the present stage of the search began.
  TimePoint stage_began{};
  /// Balancers that have not said yet that they know no owner, from \ref
  /// peers_queried on; the epoch if none has been asked.
  std::vector<SocketAddress> pending_peers;
  TimePoint peers_queried{};
  /// Agent that one of them named as the owner, and that has not reported here
  /// yet; the unspecified address if there is none.
  SocketAddress named_owner;
  /// Agents that have got \ref search_packet.
  std::vector<AgentPeerPtr> packet_receivers;
  /// The caller's last packet, which waits for the end of the search.
  std::vector<std::uint8_t> search_packet;
  /// Agents that returned the SYN.
  std::vector<AgentPeerPtr> refused_by;
  TimePoint placed{};
  TimePoint last_packet{};
};

/// \brief The flows known to a balancer, with their owners: flows that it
/// opened, flows that it searches for, and flows that agents reported. Soft
/// state of bounded size.
class FlowOwnerTable {
 public:
  /// 200,000 entries take about 50 MB.
  static constexpr std::size_t kMaxFlows = 200'000;

  /// Returns null for an unknown flow. The pointer is valid until the next
  /// change of the table.
  FlowEntry* Find(const FlowTuple& tuple);

  /// Returns the entry of the flow, a new one if there was none; null if the
  /// table is full.
  FlowEntry* Add(const FlowTuple& tuple);

  void Erase(const FlowTuple& tuple) { m_flows.erase(tuple); }

  /// Removes the flows whose last packet is older than \p before.
  void EraseIdle(TimePoint before);

  std::size_t size() const { return m_flows.size(); }

  std::unordered_map<FlowTuple, FlowEntry, FlowTupleHash>& flows() {
    return m_flows;
  }
  const std::unordered_map<FlowTuple, FlowEntry, FlowTupleHash>& flows() const {
    return m_flows;
  }

 private:
  std::unordered_map<FlowTuple, FlowEntry, FlowTupleHash> m_flows;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWOWNERTABLE_H_
