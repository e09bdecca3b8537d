#ifndef FIREFLYTRESTLE_LIBAGENT_FLOWHANDLE_H_
#define FIREFLYTRESTLE_LIBAGENT_FLOWHANDLE_H_

#include <cstdint>

namespace fireflytrestle {

/// \brief Identifies a flow in a FlowTable. Once the flow is closed, the handle
/// finds no flow, even if its index is reused.
struct FlowHandle {
  std::uint32_t index = 0;
  std::uint16_t generation = 0;

  bool operator==(const FlowHandle&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_FLOWHANDLE_H_
