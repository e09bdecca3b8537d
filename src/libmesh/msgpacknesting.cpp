#include "libmesh/msgpacknesting.h"

#include <msgpuck.h>

#include <vector>

namespace fireflytrestle {

bool IsNestedWithin(std::span<const std::uint8_t> frame, std::size_t depth) {
  const char* const begin = reinterpret_cast<const char*>(frame.data());
  const char* const end = begin + frame.size();
  const char* checked = begin;
  if (frame.empty() || mp_check(&checked, end) != 0 || checked != end) {
    return false;
  }
  // Number of values that are left to read at each open level.
  std::vector<std::uint64_t> open;
  const char* position = begin;
  while (position < end) {
    std::uint64_t children = 0;
    if (mp_typeof(*position) == MP_ARRAY) {
      children = mp_decode_array(&position);
    } else if (mp_typeof(*position) == MP_MAP) {
      children = 2ULL * mp_decode_map(&position);
    } else {
      mp_next(&position);
    }
    if (!open.empty()) {
      --open.back();
    }
    if (children > 0) {
      open.push_back(children);
    }
    if (open.size() > depth) {
      return false;
    }
    while (!open.empty() && open.back() == 0) {
      open.pop_back();
    }
  }
  return true;
}

}  // namespace fireflytrestle
