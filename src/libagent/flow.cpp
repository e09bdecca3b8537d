#include "libagent/flow.h"

#include <algorithm>

namespace fireflytrestle {

ActiveRequest* Flow::FindSequence(std::uint32_t sequence) const {
  for (const auto& request : requests) {
    if (request->sequence == sequence) {
      return request.get();
    }
  }
  return nullptr;
}

ActiveRequest* Flow::FindNumber(std::uint64_t number) const {
  for (const auto& request : requests) {
    if (request->number == number) {
      return request.get();
    }
  }
  return nullptr;
}

bool Flow::ExpectsResponse() const {
  return std::any_of(requests.begin(), requests.end(), [](const auto& request) {
    return request->state == ActiveRequest::State::kRunning ||
           request->state == ActiveRequest::State::kCancelling;
  });
}

bool Flow::HasAssigned() const {
  return std::any_of(requests.begin(), requests.end(), [](const auto& request) {
    return request->state == ActiveRequest::State::kAssigned;
  });
}

}  // namespace fireflytrestle
