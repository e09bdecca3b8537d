#ifndef FIREFLYTRESTLE_LIBNET_LASTCHANGETRACKER_H_
#define FIREFLYTRESTLE_LIBNET_LASTCHANGETRACKER_H_

#include <map>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Remembers since when each key has had its present value.
template <typename Key, typename Value>
class LastChangeTracker {
 public:
  /// Returns since when \p key has had \p value; \p now if it had none or
  /// another one.
  TimePoint Record(const Key& key, const Value& value, TimePoint now) {
    const auto [position, added] =
        m_entries.try_emplace(key, Entry{value, now});
    Entry& entry = position->second;
    if (!added && entry.value != value) {
      entry = {value, now};
    }
    return entry.since;
  }

 private:
  struct Entry {
    Value value;
    TimePoint since;
  };

  std::map<Key, Entry> m_entries;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_LASTCHANGETRACKER_H_
