#ifndef FIREFLYTRESTLE_LIBFLOW_AGENTSELECTOR_H_
#define FIREFLYTRESTLE_LIBFLOW_AGENTSELECTOR_H_

#include <span>
#include <string>

#include "libflow/agenttable.h"
#include "libflow/flowtuple.h"

namespace fireflytrestle {

struct FlowClass;
struct RouteSettings;

/// Returns the service of \p route for the flow, the same for every packet of
/// the flow; null for a route without services.
const std::string* SelectService(const RouteSettings& route,
                                 const FlowTuple& tuple);

/// Returns the agent for a new flow: the best preferred agent that is not in
/// \p tried, else the best other candidate that is not in \p tried, else null.
/// The best agent for a short flow is the one with the shortest expected time
/// to the answer, in steps of a part of a request's work; for a long-lived flow
/// the least loaded one. Without figures from any agent, the number of requests
/// and flows alone decides. Agents outside \p own_zone count as slightly slower
/// and more loaded, for long-lived flows from a zone with many agents as
/// considerably more. The flow's hash decides between equal agents.
AgentPeerPtr SelectAgent(const std::vector<AgentPeerPtr>& agents,
                         const FlowTuple& tuple,
                         const FlowClass& flow_class,
                         std::span<const AgentPeerPtr> tried,
                         const std::string& own_zone,
                         TimePoint now);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_AGENTSELECTOR_H_
