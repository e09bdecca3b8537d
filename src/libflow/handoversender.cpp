#include "libflow/handoversender.h"

#include <algorithm>

#include "libflow/flowoutput.h"
#include "libflow/nodemessagecodec.h"

namespace fireflytrestle {

void SendInParts(const SocketAddress& node,
                 const std::vector<ReportedFlow>& flows,
                 FlowHandover head,
                 FlowOutput* output) {
  const std::size_t parts = std::max<std::size_t>(
      (flows.size() + kMaxFlowsPerStatus - 1) / kMaxFlowsPerStatus, 1);
  head.parts = static_cast<std::uint32_t>(parts);
  auto next = flows.begin();
  for (head.part = 0; head.part < head.parts; ++head.part) {
    const auto count = std::min<std::ptrdiff_t>(
        flows.end() - next, static_cast<std::ptrdiff_t>(kMaxFlowsPerStatus));
    head.flows.assign(next, next + count);
    next += count;
    output->SendToNode(node, head);
  }
}

}  // namespace fireflytrestle
