#ifndef FIREFLYTRESTLE_LIBWIRE_FLOWIDCODEC_H_
#define FIREFLYTRESTLE_LIBWIRE_FLOWIDCODEC_H_

#include <optional>
#include <vector>

#include "libwire/flowid.h"
#include "libwire/flowkey.h"

namespace fireflytrestle {

/// \brief Encodes flow identities as signed tokens, and verifies and decodes
/// tokens. Encode() and Decode() do not allocate.
class FlowIdCodec {
 public:
  /// The first key signs; all keys verify. \p keys must not be empty.
  explicit FlowIdCodec(std::vector<FlowKey> keys);

  FlowToken Encode(const FlowId& id) const;

  /// Returns the identity, or nothing if the version, the key number or the
  /// authentication tag is invalid.
  std::optional<FlowId> Decode(const FlowToken& token) const;

 private:
  std::vector<FlowKey> m_keys;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBWIRE_FLOWIDCODEC_H_
