#include "libflow/peerbalancertable.h"

#include <doctest/doctest.h>

#include "libbase/manualclock.h"

namespace fireflytrestle {

using std::chrono::milliseconds;

// Guards against a reset of open flows (FLOW) by a balancer that was paused:
// the answers of the others wait to be read.
TEST_CASE("a paused balancer does not take the others for ended") {
  const SocketAddress other{1, 2};
  ManualClock clock;
  PeerBalancerTable peers(clock.Now());
  peers.OnTick(clock.Now());
  peers.OnMessage(other);
  for (int i = 0; i < PeerBalancerTable::kMinQueries; ++i) {
    peers.OnQueried(other, clock.Now());
  }
  SUBCASE("that was paused") {
    clock.Advance(milliseconds(1000));
    peers.OnTick(clock.Now());
    peers.Prune(clock.Now());
    CHECK(peers.Contains(other));
  }
  SUBCASE("unless it ran all the while") {
    for (int i = 0; i < 20; ++i) {
      clock.Advance(milliseconds(50));
      peers.OnTick(clock.Now());
    }
    peers.Prune(clock.Now());
    CHECK_FALSE(peers.Contains(other));
  }
}

}  // namespace fireflytrestle
