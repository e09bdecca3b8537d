#ifndef FIREFLYTRESTLE_LIBAGENT_REQUESTQUEUE_H_
#define FIREFLYTRESTLE_LIBAGENT_REQUESTQUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libagent/flowhandle.h"

namespace fireflytrestle {

/// \brief Requests that wait for a slot, in order of arrival. The admission
/// control limits the queue to a few entries per slot, so a linear search in
/// Remove() is cheap.
class RequestQueue {
 public:
  struct Entry {
    FlowHandle flow;
    std::uint32_t sequence = 0;

    bool operator==(const Entry&) const = default;
  };

  void PushBack(const Entry& entry) { m_entries.push_back(entry); }
  /// For a request that has been queued before and keeps its priority.
  void PushFront(const Entry& entry) { m_entries.push_front(entry); }
  std::optional<Entry> Pop();
  void Remove(const Entry& entry) { std::erase(m_entries, entry); }

  std::size_t size() const { return m_entries.size(); }

 private:
  std::deque<Entry> m_entries;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_REQUESTQUEUE_H_
