#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libmesh/meshmessagecodec.h"

namespace fireflytrestle {

namespace {

DocumentKind ArbitraryKind() {
  return *rc::gen::element(DocumentKind::kConfiguration,
                           DocumentKind::kInstances);
}

std::uint64_t ArbitraryNumber() {
  return *rc::gen::arbitrary<std::uint64_t>();
}

MeshMessage ArbitraryMessage() {
  const ViewVersion version{Revision(ArbitraryNumber()), ArbitraryNumber(),
                            Revision(ArbitraryNumber()), ArbitraryNumber()};
  const std::chrono::milliseconds age(*rc::gen::inRange(0, 3600000));
  using Entries = std::map<std::string, std::string>;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return MeshHello{InstanceId(ArbitraryNumber()),
                       *rc::gen::arbitrary<bool>()};
    case 1:
      return MeshHeartbeat{ArbitraryNumber(), version, age};
    case 2:
      return MeshHeartbeatAnswer{ArbitraryNumber(),
                                 version,
                                 age,
                                 *rc::gen::arbitrary<bool>(),
                                 {{0x7f000001, 80}}};
    case 3:
      return MeshDelta{ArbitraryKind(),
                       {Revision(ArbitraryNumber()), ArbitraryNumber(),
                        Revision(ArbitraryNumber()), ArbitraryNumber(),
                        *rc::gen::arbitrary<Entries>(),
                        *rc::gen::arbitrary<std::vector<std::string>>()}};
    default:
      return MeshDocument{ArbitraryKind(),
                          {Revision(ArbitraryNumber()), ArbitraryNumber(),
                           *rc::gen::arbitrary<Entries>()}};
  }
}

}  // namespace

TEST_CASE(
    "a mesh message is decoded as encoded and a truncated one is rejected") {
  // Guards against fields that are lost or swapped, and against truncated
  // frames that are decoded as a different message.
  CHECK(rc::check([] {
    const MeshMessage message = ArbitraryMessage();
    std::vector<std::uint8_t> frame = EncodeMeshMessage(message);
    const auto decoded = DecodeMeshMessage(frame);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().index() == message.index());
    RC_ASSERT(EncodeMeshMessage(decoded.value()) == frame);

    const auto cut = *rc::gen::inRange<std::size_t>(0, frame.size());
    RC_ASSERT(!DecodeMeshMessage(std::span(frame).first(cut)));
    // A damaged frame may decode to anything but must not crash the process.
    frame[*rc::gen::inRange<std::size_t>(0, frame.size())] ^=
        *rc::gen::inRange<std::uint8_t>(1, 255);
    static_cast<void>(DecodeMeshMessage(frame).has_value());
  }));
}

TEST_CASE("a deeply nested frame is rejected without recursion") {
  // Guards against a peer that crashes the process by exhausting its stack.
  constexpr std::uint8_t kArrayOfOne = 0x91;
  std::vector<std::uint8_t> frame(1U << 20U, kArrayOfOne);
  CHECK_FALSE(DecodeMeshMessage(frame).has_value());
  frame.push_back(0);
  CHECK_FALSE(DecodeMeshMessage(frame).has_value());
}

}  // namespace fireflytrestle
