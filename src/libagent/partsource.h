#ifndef FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_
#define FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace fireflytrestle {

/// \brief Response of the upstream to a request, split into parts for the
/// caller.
class PartSource {
 public:
  virtual ~PartSource() = default;

  /// One past the last part that can be sent now.
  virtual std::uint32_t end() const = 0;
  /// Part count to send with part \p index: the number of parts of the whole
  /// response, or 0 while that is unknown and for events of a feed.
  virtual std::uint32_t CountAt(std::uint32_t index) const = 0;
  /// Whether the response is complete and has no parts at or above
  /// \p acknowledged.
  virtual bool IsFullyAcknowledged(std::uint32_t acknowledged) const = 0;
  /// Body of a part in [acknowledged, end()).
  virtual std::span<const std::uint8_t> Body(std::uint32_t index) const = 0;
  /// Releases all parts below \p acknowledged; the caller has received them.
  virtual void Release(std::uint32_t acknowledged) = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_PARTSOURCE_H_
