#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWOUTPUT_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWOUTPUT_H_

#include <cstdint>
#include <span>

#include "libbase/clock.h"
#include "libflow/flowdecision.h"
#include "libflow/flowmeasurement.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// \brief Output of FlowRouter and FlowTracker, implemented by their adapters.
/// Calls take effect at once and keep no reference to their arguments.
class FlowOutput {
 public:
  virtual ~FlowOutput() = default;

  /// Sends \p message to another process of the system.
  virtual void SendToNode(const SocketAddress& node,
                          const NodeMessage& message) = 0;

  /// Sends a caller's packet to the upstream beside this process.
  virtual void SendToUpstream(std::span<const std::uint8_t> packet) = 0;

  /// Sends an upstream's packet to its caller.
  virtual void SendToCaller(const SocketAddress& caller,
                            std::span<const std::uint8_t> packet) = 0;

  /// Sends a reset of a flow to its caller.
  virtual void SendReset(const FlowTuple& tuple, std::uint32_t sequence) = 0;

  virtual void Report(const FlowDecision& decision) = 0;

  virtual void Measure(FlowMeasurement measurement, Duration time) = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWOUTPUT_H_
