#ifndef FIREFLYTRESTLE_LIBNET_LASTCHANGETRACKER_H_
#define FIREFLYTRESTLE_LIBNET_LASTCHANGETRACKER_H_

#include <map>

#include "libbase/clock.h"

namespace fireflytrestle {

/// \brief Tracks since when each key has had its current value.
template <typename Key, typename Value>
class LastChangeTracker {
 public:
  /// Records the value of \p key at \p now and returns since when the key has
  /// had it: \p now if the key is new or its value has changed.
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
