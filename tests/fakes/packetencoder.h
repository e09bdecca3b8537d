#ifndef FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_
#define FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libflow/flowpacket.h"

namespace fireflytrestle {

/// Returns a packet of the platform as callers and upstreams write it. \p data
/// may be shorter than the packet's data_bytes; the rest is zero.
std::vector<std::uint8_t> EncodePacket(const FlowPacket& packet,
                                       std::span<const std::uint8_t> data = {});

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_PACKETENCODER_H_
