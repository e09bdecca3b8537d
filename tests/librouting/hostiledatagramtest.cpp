#include <doctest/doctest.h>

#include <numeric>

#include "../../bench/fleet.h"

namespace fireflytrestle {

TEST_CASE("Invalid and forged datagrams are dropped and counted by reason") {
  // Guards against a datagram that crashes a balancer, is dropped without being
  // counted, or reaches another service or the agent of another flow.
  constexpr ServiceId kOther{2};
  Fleet fleet;
  SeededRandom& random = fleet.random;
  Configuration view = MakeConfiguration(kService, 1, 8);
  const Configuration other = MakeConfiguration(kOther, 101, 8);
  view.services.push_back(other.services[0]);
  view.targets.insert(view.targets.end(), other.targets.begin(),
                      other.targets.end());
  view.zones[3].out = true;
  const auto router = fleet.MakeRouter(view);
  std::uint64_t dropped = 0;
  std::uint64_t delivered = 0;
  for (int i = 0; i < 18000; ++i) {
    // Targets 1 and 2 are in zones 2 and 3.
    const TargetSettings owner =
        MakeTarget(1 + static_cast<std::uint32_t>(random.Below(2)), kService);
    PartMessage unexpected{MakeToken(owner, 1), 1, 0, 0, 1, {}};
    RequestMessage request;
    request.flow = MakeToken(owner, 1);
    request.sequence = 1;
    const Bytes valid = FabricPacket(kService, request);
    Bytes hostile = valid;
    switch (i % 9) {
      case 0:
        for (std::uint64_t n = 1 + random.Below(4); n > 0; --n) {
          hostile[random.Below(hostile.size())] ^=
              static_cast<std::uint8_t>(1 + random.Below(255));
        }
        break;
      case 1:
        hostile.resize(random.Below(valid.size()));
        break;
      case 2:
        hostile.insert(hostile.end(), 1 + random.Below(2000), 0xC0);
        break;
      case 3:  // Valid token, replayed to another service.
        hostile = FabricPacket(kOther, request);
        break;
      case 4:  // Stale token: signed with a key that is no longer in use.
        request.flow = MakeCodec(2).Encode(*MakeCodec().Decode(request.flow));
        hostile = FabricPacket(kService, request);
        break;
      case 5:  // Stale token: its zone has been taken out since.
        request.flow = MakeToken(MakeTarget(3, kService), 1);
        hostile = FabricPacket(kService, request);
        break;
      case 6:  // Forged token: one bit is flipped.
        request.flow[2 + random.Below(38)] ^= 0x10;
        hostile = FabricPacket(kService, request);
        break;
      case 7:  // A message that only agents send.
        hostile = FabricPacket(kService, unexpected);
        break;
      case 8:  // An envelope that only agents send.
        hostile[1] = static_cast<std::uint8_t>(2 + random.Below(250));
        break;
    }
    const RouteDecision decision =
        i % 9 == 1 && i % 2 == 0
            ? router->OnAgentDatagram(hostile, fleet.clock.Now())
            : router->OnFabricDatagram(hostile, fleet.clock.Now());
    if (decision.action == RouteDecision::Action::kDrop) {
      ++dropped;
      continue;
    }
    // Case 0 changes random bytes. A datagram passes only if none of them is in
    // the authenticated token or the service id.
    ++delivered;
    CHECK(i % 9 == 0);
    CHECK(decision.agent == owner.agent);
    CHECK(decision.envelope.service == kService);
  }
  const auto& drops = router->drops();
  for (std::size_t i = 0; i < drops.size(); ++i) {
    MESSAGE(std::string(ToString(static_cast<DropReason>(i)))
            << " " << drops[i]);
  }
  MESSAGE(dropped << " dropped, " << delivered << " delivered to the owner");
  CHECK(dropped >= 10000);
  CHECK(std::accumulate(drops.begin(), drops.end(), std::uint64_t{0}) ==
        dropped);
}

}  // namespace fireflytrestle
