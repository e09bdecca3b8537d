#ifndef FIREFLYTRESTLE_LIBFLOW_FLOWMEASUREMENT_H_
#define FIREFLYTRESTLE_LIBFLOW_FLOWMEASUREMENT_H_

#include <cstddef>
#include <cstdint>

namespace fireflytrestle {

/// \brief Durations that agents measure.
enum class FlowMeasurement : std::uint8_t {
  /// From a flow's SYN to the caller's next packet.
  kOpening,
  /// From the delivery of a request to the first data of its answer.
  kAnswer,
  /// From the arrival of a queued request to its delivery.
  kWait,
  /// The wait that was expected when a queued request arrived, if it goes last.
  kExpectedWait,
  kCount,
};

inline constexpr std::size_t kFlowMeasurements =
    static_cast<std::size_t>(FlowMeasurement::kCount);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_FLOWMEASUREMENT_H_
