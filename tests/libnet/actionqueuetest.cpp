#include "libnet/actionqueue.h"

#include <doctest/doctest.h>

namespace fireflytrestle {

TEST_CASE(
    "Actions queued while others execute run after those already queued") {
  // Guards against reordering of frames on a mesh link: a nested call must not
  // execute its actions before those of the outer call.
  std::vector<int> executed;
  ActionQueue<int>* self = nullptr;
  ActionQueue<int> queue([&](const int& action) {
    executed.push_back(action);
    if (action == 1) {
      self->Run([](std::vector<int>* actions) { actions->push_back(3); });
    }
  });
  self = &queue;
  queue.Defer([](std::vector<int>* actions) { actions->push_back(0); });
  queue.Run([](std::vector<int>* actions) {
    actions->push_back(1);
    actions->push_back(2);
  });
  CHECK(executed == std::vector<int>{0, 1, 2, 3});
}

}  // namespace fireflytrestle
