#ifndef FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_
#define FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace fireflytrestle {

/// \brief Holds what the upstream has answered, as parts for the caller.
class PartSource {
 public:
  virtual ~PartSource() = default;

  /// One past the last part that can be sent now.
  virtual std::uint32_t end() const = 0;
  /// Part count to send with part \p index: that of the whole response, 0
  /// while it is not known and for an event of a feed.
  virtual std::uint32_t CountAt(std::uint32_t index) const = 0;
  /// Whether nothing follows part \p acknowledged - 1.
  virtual bool IsFullyAcknowledged(std::uint32_t acknowledged) const = 0;
  /// Body of a part in [acknowledged, end()).
  virtual std::span<const std::uint8_t> Body(std::uint32_t index) const = 0;
  /// Releases what the caller has: all parts below \p acknowledged.
  virtual void Release(std::uint32_t acknowledged) = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_
