#ifndef FIREFLYTRESTLE_LIBAGENT_RESPONSEBODY_H_
#define FIREFLYTRESTLE_LIBAGENT_RESPONSEBODY_H_

#include <vector>

#include "libagent/partsource.h"

namespace fireflytrestle {

/// \brief Response to an order or document, split into parts of kMaxPartBytes;
/// the last one can be shorter. Full parts can be sent before the response is
/// complete.
class ResponseBody : public PartSource {
 public:
  /// Limits the memory of the agent that one response can occupy.
  static constexpr std::size_t kMaxBytes = std::size_t{16} << 20U;

  /// Returns false, without appending, if the response would exceed kMaxBytes.
  bool Append(std::span<const std::uint8_t> bytes, bool last);

  std::uint32_t end() const override;
  std::uint32_t CountAt(std::uint32_t /*index*/) const override {
    return count();
  }
  bool IsFullyAcknowledged(std::uint32_t acknowledged) const override {
    return m_complete && acknowledged >= count();
  }
  std::span<const std::uint8_t> Body(std::uint32_t index) const override;
  void Release(std::uint32_t /*acknowledged*/) override {}

 private:
  std::uint32_t count() const;

  std::vector<std::uint8_t> m_bytes;
  bool m_complete = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_RESPONSEBODY_H_
