#include "platform/platformpacketcodec.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <vector>

namespace fireflytrestle {

namespace {

// Example packets of the platform's protocol: one that opens a flow from
// kCaller to kRoute, and the reset of that flow.
constexpr std::array<std::uint8_t, 32> kSynPacket = {
    0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0xbb, 0x01, 0x01,
    0x00, 0x12, 0xc6, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xd5, 0xc3,
    0xb2, 0xa1, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
constexpr std::array<std::uint8_t, 32> kResetPacket = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x07,
    0x00, 0x40, 0x64, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 0x00, 0x00,
    0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
constexpr SocketAddress kCaller{0x64400007, 40001};
constexpr SocketAddress kRoute{0xC6120001, 443};

}  // namespace

TEST_CASE("an opening packet is decoded with all its fields") {
  const auto packet = PlatformPacketCodec().Decode(kSynPacket);
  REQUIRE(packet);
  CHECK(packet->source == kCaller);
  CHECK(packet->destination == kRoute);
  CHECK(packet->sequence == 0x11223344);
  CHECK(packet->IsOpening());
  CHECK_FALSE(packet->bounced);
}

TEST_CASE("a reset is encoded into 32 bytes and not into a smaller buffer") {
  std::array<std::uint8_t, 40> out{};
  CHECK(PlatformPacketCodec().EncodeReset({kCaller, kRoute}, 0, out) ==
        kResetPacket.size());
  CHECK(std::equal(kResetPacket.begin(), kResetPacket.end(), out.begin()));
  std::array<std::uint8_t, 31> small{};
  CHECK(PlatformPacketCodec().EncodeReset({kCaller, kRoute}, 0, small) == 0);
}

TEST_CASE(
    "clearing the mark of a bounced packet restores the original packet") {
  auto packet = kSynPacket;
  packet[24] |= 8;
  packet[28] = 7;
  PlatformPacketCodec().ClearBounced(packet);
  CHECK(packet == kSynPacket);
}

TEST_CASE(
    "datagrams with another length than their header states are rejected") {
  std::vector<std::uint8_t> packet(kSynPacket.begin(), kSynPacket.end());
  for (std::size_t size = 0; size < packet.size(); ++size) {
    CHECK_FALSE(PlatformPacketCodec().Decode(std::span(packet.data(), size)));
  }
  packet.push_back(0);
  CHECK_FALSE(PlatformPacketCodec().Decode(packet));
  packet[26] = 1;
  CHECK(PlatformPacketCodec().Decode(packet));
  packet.resize(32 + 1201);
  packet[26] = 0xb1;
  packet[27] = 0x04;
  CHECK_FALSE(PlatformPacketCodec().Decode(packet));
}

TEST_CASE("500,000 mutated packets are decoded consistently or rejected") {
  std::mt19937_64 random(20261204);
  std::size_t read = 0;
  for (int i = 0; i < 500'000; ++i) {
    std::vector<std::uint8_t> packet(kSynPacket.begin(), kSynPacket.end());
    packet.resize(random() % 80);
    for (int change = 0; change < 3 && !packet.empty(); ++change) {
      packet[random() % packet.size()] = static_cast<std::uint8_t>(random());
    }
    if (const auto decoded = PlatformPacketCodec().Decode(packet)) {
      ++read;
      REQUIRE(decoded->data_bytes + PlatformPacketCodec::kHeaderBytes ==
              packet.size());
    }
  }
  CHECK(read > 0);
}

}  // namespace fireflytrestle
