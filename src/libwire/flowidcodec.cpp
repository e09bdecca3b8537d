#include "libwire/flowidcodec.h"

#include <sodium.h>

#include <cstdlib>
#include <span>
#include <utility>

namespace fireflytrestle {

namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kTagBytes = crypto_shorthash_BYTES;
constexpr std::size_t kSignedBytes = kFlowTokenBytes - kTagBytes;
static_assert(crypto_shorthash_KEYBYTES == sizeof(FlowKey::secret));
static_assert(kSignedBytes == 32);

constexpr std::uint8_t VersionAndKeyByte(std::uint8_t key_number) {
  return static_cast<std::uint8_t>(kVersion << 4U | (key_number & 0x0FU));
}

template <typename T>
void WriteBigEndian(std::uint8_t** cursor, T value) {
  for (std::size_t i = sizeof(T); i > 0; --i) {
    *(*cursor)++ = static_cast<std::uint8_t>(
        static_cast<std::uint64_t>(value) >> (8 * (i - 1)));
  }
}

template <typename T>
T ReadBigEndian(const std::uint8_t** cursor) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = value << 8U | *(*cursor)++;
  }
  return static_cast<T>(value);
}

std::array<std::uint8_t, kTagBytes> ComputeTag(const FlowToken& token,
                                               const FlowKey& key) {
  std::array<std::uint8_t, kTagBytes> tag{};
  crypto_shorthash(tag.data(), token.data(), kSignedBytes, key.secret.data());
  return tag;
}

}  // namespace

FlowIdCodec::FlowIdCodec(std::vector<FlowKey> keys) : m_keys(std::move(keys)) {
  if (m_keys.empty()) {
    std::abort();
  }
}

FlowToken FlowIdCodec::Encode(const FlowId& id) const {
  const FlowKey& key = m_keys.front();
  FlowToken token{};
  std::uint8_t* cursor = token.data();
  WriteBigEndian(&cursor, VersionAndKeyByte(key.number));
  WriteBigEndian(&cursor, std::uint8_t{0});
  WriteBigEndian(&cursor, id.zone);
  WriteBigEndian(&cursor, id.service);
  WriteBigEndian(&cursor, id.target);
  WriteBigEndian(&cursor, id.agent.ipv4);
  WriteBigEndian(&cursor, id.agent.port);
  WriteBigEndian(&cursor, id.generation);
  WriteBigEndian(&cursor, id.incarnation);
  WriteBigEndian(&cursor, id.index);
  for (const std::uint8_t byte : ComputeTag(token, key)) {
    *cursor++ = byte;
  }
  return token;
}

std::optional<FlowId> FlowIdCodec::Decode(const FlowToken& token) const {
  for (const FlowKey& key : m_keys) {
    if (token[0] != VersionAndKeyByte(key.number)) {
      continue;
    }
    const std::array<std::uint8_t, kTagBytes> tag = ComputeTag(token, key);
    // Compares in constant time, so that response times reveal nothing about
    // the tag.
    if (sodium_memcmp(tag.data(), token.data() + kSignedBytes, kTagBytes) !=
        0) {
      continue;
    }
    const std::uint8_t* cursor = token.data() + 2;
    FlowId id;
    id.zone = ReadBigEndian<ZoneId>(&cursor);
    id.service = ReadBigEndian<ServiceId>(&cursor);
    id.target = ReadBigEndian<TargetId>(&cursor);
    id.agent.ipv4 = ReadBigEndian<std::uint32_t>(&cursor);
    id.agent.port = ReadBigEndian<std::uint16_t>(&cursor);
    id.generation = ReadBigEndian<std::uint16_t>(&cursor);
    id.incarnation = ReadBigEndian<Incarnation>(&cursor);
    id.index = ReadBigEndian<std::uint32_t>(&cursor);
    return id;
  }
  return std::nullopt;
}

}  // namespace fireflytrestle
