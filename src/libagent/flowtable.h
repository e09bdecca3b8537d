#ifndef FIREFLYTRESTLE_LIBAGENT_FLOWTABLE_H_
#define FIREFLYTRESTLE_LIBAGENT_FLOWTABLE_H_

#include <cstdint>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "libagent/flow.h"

namespace fireflytrestle {

/// \brief The open flows of an agent. Lookup is by index and generation, and by
/// nonce during the handshake.
class FlowTable {
 public:
  FlowTable() = default;
  FlowTable(const FlowTable&) = delete;
  FlowTable& operator=(const FlowTable&) = delete;

  Flow* Open(const Nonce& nonce, TimePoint now);
  /// Returns null if the flow is closed, even if its index was reused.
  Flow* Find(FlowHandle handle) const;
  /// Returns the open flow at \p index, or null.
  Flow* At(std::uint32_t index) const { return m_entries[index].flow.get(); }
  Flow* FindNonce(const Nonce& nonce) const;
  /// Removes the nonces of flows that were opened before \p time.
  void ExpireNonces(TimePoint time);
  void Close(Flow* flow);

  std::uint32_t size() const { return m_size; }

  /// Calls \p visit for each open flow; \p visit may close that flow.
  void ForEach(const std::function<void(Flow*)>& visit);

 private:
  /// An index is reused only when at least this many indices are free. This
  /// prevents the 16-bit generation from wrapping within the lifetime of a late
  /// packet, even at thousands of new flows per second.
  static constexpr std::size_t kMinFreeIndices = 4096;

  struct Entry {
    std::uint16_t generation = 0;
    std::unique_ptr<Flow> flow;
  };
  struct NonceHash {
    std::size_t operator()(const Nonce& nonce) const {
      std::size_t hash = 0;
      std::memcpy(&hash, nonce.data(), sizeof(hash));
      return hash;
    }
  };

  std::deque<Entry> m_entries;
  std::deque<std::uint32_t> m_free_indices;
  std::unordered_map<Nonce, FlowHandle, NonceHash> m_nonces;
  /// Time of the OPEN and its nonce, in order of time.
  std::deque<std::pair<TimePoint, Nonce>> m_handshakes;
  std::uint32_t m_size = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_FLOWTABLE_H_
