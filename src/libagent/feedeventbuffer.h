#ifndef FIREFLYTRESTLE_LIBAGENT_FEEDEVENTBUFFER_H_
#define FIREFLYTRESTLE_LIBAGENT_FEEDEVENTBUFFER_H_

#include <vector>

#include "libagent/partsource.h"

namespace fireflytrestle {

/// \brief Events of a feed that the caller has not acknowledged, in order and
/// without gaps.
class FeedEventBuffer : public PartSource {
 public:
  /// Maximum number of buffered events per feed: two part windows.
  static constexpr std::size_t kCapacity = 64;

  enum class Result { kAppended, kDuplicate, kGap, kFull };

  /// \p last_event is the number of the last event that the caller has
  /// received.
  explicit FeedEventBuffer(std::uint32_t last_event)
      : m_first(last_event + 1),
        m_end((last_event + 1) & kMaxEvent),
        m_closed(0) {}

  Result Append(std::uint32_t event, std::span<const std::uint8_t> body);
  /// Called when the upstream has ended the feed. Appends a final empty part
  /// whose part count equals its index.
  void Close();

  bool empty() const { return m_bodies.empty(); }
  /// Number of the last event received without a gap.
  std::uint32_t last() const { return m_end - 1; }

  std::uint32_t end() const override { return m_closed ? m_end + 1 : m_end; }
  std::uint32_t CountAt(std::uint32_t index) const override {
    return m_closed && index == m_end ? m_end : 0;
  }
  bool IsFullyAcknowledged(std::uint32_t acknowledged) const override {
    return m_closed && acknowledged > m_end;
  }
  std::span<const std::uint8_t> Body(std::uint32_t index) const override;
  void Release(std::uint32_t acknowledged) override;

 private:
  static constexpr std::uint32_t kMaxEvent = (1U << 31U) - 1;

  std::uint32_t m_first;
  std::uint32_t m_end : 31;
  std::uint32_t m_closed : 1;
  std::vector<std::vector<std::uint8_t>> m_bodies;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_FEEDEVENTBUFFER_H_
