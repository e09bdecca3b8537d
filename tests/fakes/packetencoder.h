#ifndef FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_
#define FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libflow/flowpacket.h"

namespace fireflytrestle {

/// Encodes a packet in the format of the platform, as callers and upstreams
/// send it. \p data may be shorter than the packet's data_bytes; the rest is
/// filled with zeros.
std::vector<std::uint8_t> EncodePacket(const FlowPacket& packet,
                                       std::span<const std::uint8_t> data = {});

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_
