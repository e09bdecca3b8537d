#ifndef FIREFLYTRESTLE_LIBMESH_MESHMESSAGECODEC_H_
#define FIREFLYTRESTLE_LIBMESH_MESHMESSAGECODEC_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <span>
#include <vector>

#include "libmesh/meshmessage.h"

namespace fireflytrestle {

/// Returns the msgpack form of \p message, without the frame length.
std::vector<std::uint8_t> EncodeMeshMessage(const MeshMessage& message);

/// Decodes one whole frame body. Fails with ErrorCode::kNetwork if it is
/// malformed.
boost::leaf::result<MeshMessage> DecodeMeshMessage(
    std::span<const std::uint8_t> frame);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBMESH_MESHMESSAGECODEC_H_
