#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libbase/seededrandom.h"
#include "libwire/flowidcodec.h"
#include "randommessages.h"

namespace fireflytrestle {

namespace {

FlowKey RandomKey(std::uint8_t number, SeededRandom& random) {
  FlowKey key{number, {}};
  Randomize(key.secret, random);
  return key;
}

FlowId RandomFlowId(SeededRandom& random) {
  FlowId id;
  Randomize(id.zone, random);
  Randomize(id.service, random);
  Randomize(id.target, random);
  Randomize(id.agent.ipv4, random);
  Randomize(id.agent.port, random);
  Randomize(id.generation, random);
  Randomize(id.incarnation, random);
  Randomize(id.index, random);
  return id;
}

}  // namespace

TEST_CASE("Flow tokens survive key rotation and any changed bit is rejected") {
  // Guards against callers that alter a token to reach an agent of another
  // service.
  CHECK(rc::check([](std::uint64_t seed) {
    SeededRandom random(seed);
    const FlowKey old_key = RandomKey(3, random);
    const FlowKey new_key = RandomKey(4, random);
    const FlowId id = RandomFlowId(random);
    const FlowToken token = FlowIdCodec({old_key}).Encode(id);
    const FlowIdCodec both({new_key, old_key});
    RC_ASSERT(both.Decode(token) == id);
    RC_ASSERT(both.Decode(both.Encode(id)) == id);
    RC_ASSERT(both.Encode(id) != token);
    RC_ASSERT(!FlowIdCodec({new_key}).Decode(token));
    RC_ASSERT(!FlowIdCodec({RandomKey(3, random)}).Decode(token));
    for (std::size_t bit = 0; bit < kFlowTokenBytes * 8; ++bit) {
      FlowToken changed = token;
      changed[bit / 8] ^= static_cast<std::uint8_t>(1U << bit % 8);
      RC_ASSERT(!both.Decode(changed));
    }
  }));
}

TEST_CASE("Flow tokens have the documented layout") {
  // Guards against a layout change that breaks open flows during an upgrade.
  const FlowIdCodec codec({FlowKey{5, {}}});
  const FlowToken token =
      codec.Encode({ZoneId{0x0102}, ServiceId{0x03040506}, TargetId{0x0708090A},
                    SocketAddress{0x0B0C0D0E, 0x0F10}, 0x1112,
                    Incarnation{0x131415161718191A}, 0x1B1C1D1E});
  CHECK(token[0] == 0x15);
  CHECK(token[1] == 0);
  for (std::uint8_t i = 2; i < 32; ++i) {
    CHECK(token[i] == i - 1);
  }
}

}  // namespace fireflytrestle
