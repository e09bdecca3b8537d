#ifndef FIREFLYTRESTLE_LIBFLOW_HANDOVERSENDER_H_
#define FIREFLYTRESTLE_LIBFLOW_HANDOVERSENDER_H_

#include <vector>

#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

class FlowOutput;

/// Sends \p flows to \p node in as many parts as needed, at least one. All
/// other fields of the messages come from \p head.
void SendInParts(const SocketAddress& node,
                 const std::vector<ReportedFlow>& flows,
                 FlowHandover head,
                 FlowOutput* output);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_HANDOVERSENDER_H_
