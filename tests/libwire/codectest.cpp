#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "guardedbuffer.h"
#include "libbase/seededrandom.h"
#include "libwire/callermessagecodec.h"
#include "libwire/envelopecodec.h"
#include "libwire/framereader.h"
#include "libwire/upstreammessagecodec.h"
#include "randommessages.h"

namespace fireflytrestle {

namespace {

using Bytes = std::vector<std::uint8_t>;

template <typename Message, typename Encode>
Bytes EncodeToVector(const Message& message, Encode encode) {
  Bytes bytes(kMaxDatagramBytes + kMaxEnvelopeOverheadBytes);
  bytes.resize(encode(message, bytes));
  return bytes;
}

Envelope RandomEnvelope(SeededRandom& random) {
  Envelope e;
  e.kind = static_cast<EnvelopeKind>(1 + random.Below(4));
  Randomize(e.caller.ipv4, random);
  Randomize(e.caller.port, random);
  Randomize(e.service, random);
  if (random.Below(2) == 1) {
    AgentStatus& status = e.status.emplace();
    Randomize(status.target, random);
    status.state = static_cast<TargetState>(1 + random.Below(6));
    Randomize(status.open_flows, random);
    Randomize(status.revision, random);
  }
  e.attempts = static_cast<std::uint8_t>(random.Below(kMaxOpenAttempts + 1));
  for (std::size_t i = 0; i < e.attempts; ++i) {
    Randomize(e.tried[i], random);
  }
  Randomize(e.payload, random);
  return e;
}

/// Truncates, extends and overwrites \p valid at random. Every truncated or
/// extended form must be rejected, and every message that is decoded must be
/// encodable again.
template <typename Message, typename Decode, typename Encode>
void CheckMutations(const Bytes& valid,
                    SeededRandom& random,
                    Decode decode,
                    Encode encode) {
  static GuardedBuffer guarded;
  Message message;
  for (int i = 0; i < 20; ++i) {
    const std::size_t size = random.Below(valid.size());
    RC_ASSERT(decode(guarded.Copy(std::span(valid).first(size)), &message) !=
              WireError::kNone);
    Bytes bytes = valid;
    bytes.push_back(static_cast<std::uint8_t>(random.Next()));
    RC_ASSERT(decode(bytes, &message) != WireError::kNone);
    bytes.pop_back();
    for (std::uint64_t flips = 1 + random.Below(3); flips > 0; --flips) {
      bytes[random.Below(std::min<std::size_t>(bytes.size(), 80))] =
          static_cast<std::uint8_t>(random.Next());
    }
    if (decode(guarded.Copy(bytes), &message) == WireError::kNone) {
      RC_ASSERT(!encode(message).empty());
    }
  }
}

Bytes EncodeCaller(const CallerMessage& message) {
  return EncodeToVector(message, EncodeCallerMessage);
}

Bytes EncodeEnvelopeBytes(const Envelope& envelope) {
  return EncodeToVector(envelope, EncodeEnvelope);
}

}  // namespace

TEST_CASE(
    "Caller messages survive a round trip and truncated ones are rejected") {
  // Guards against lost fields and against reads past the end of a datagram.
  CHECK(rc::check([](std::uint64_t seed) {
    SeededRandom random(seed);
    CallerMessage message;
    RandomizeMessage(message, random);
    const Bytes bytes = EncodeCaller(message);
    RC_ASSERT(!bytes.empty());
    CallerMessage decoded;
    RC_ASSERT(DecodeCallerMessage(bytes, &decoded) == WireError::kNone);
    RC_ASSERT(Flatten(decoded) == Flatten(message));
    Bytes small(bytes.size() - 1);
    RC_ASSERT(EncodeCallerMessage(message, small) == 0);
    CheckMutations<CallerMessage>(bytes, random, DecodeCallerMessage,
                                  EncodeCaller);
  }));
}

TEST_CASE("Envelopes survive a round trip within the maximum overhead") {
  CHECK(rc::check([](std::uint64_t seed) {
    SeededRandom random(seed);
    const Envelope e = RandomEnvelope(random);
    const Bytes bytes = EncodeEnvelopeBytes(e);
    RC_ASSERT(!bytes.empty());
    RC_ASSERT(bytes.size() <= e.payload.size() + kMaxEnvelopeOverheadBytes);
    Envelope d;
    RC_ASSERT(DecodeEnvelope(bytes, &d) == WireError::kNone);
    RC_ASSERT(
        std::tie(d.kind, d.caller, d.service, d.status, d.tried, d.attempts) ==
        std::tie(e.kind, e.caller, e.service, e.status, e.tried, e.attempts));
    RC_ASSERT(std::ranges::equal(d.payload, e.payload));
    CheckMutations<Envelope>(bytes, random, DecodeEnvelope,
                             EncodeEnvelopeBytes);
  }));
}

TEST_CASE(
    "Upstream messages survive a round trip and truncated ones are rejected") {
  CHECK(rc::check([](std::uint64_t seed) {
    SeededRandom random(seed);
    UpstreamMessage message;
    RandomizeMessage(message, random);
    const Bytes bytes = EncodeUpstreamMessage(message);
    UpstreamMessage decoded;
    RC_ASSERT(DecodeUpstreamMessage(bytes, &decoded) == WireError::kNone);
    RC_ASSERT(Flatten(decoded) == Flatten(message));
    CheckMutations<UpstreamMessage>(bytes, random, DecodeUpstreamMessage,
                                    EncodeUpstreamMessage);
  }));
}

TEST_CASE("A frame of nested arrays is rejected without recursion") {
  // A recursive decoder would exhaust the stack on this frame.
  UpstreamMessage message;
  CHECK(DecodeUpstreamMessage(Bytes(kMaxFrameBytes, 0x91), &message) ==
        WireError::kMalformed);
}

TEST_CASE("FrameReader returns the same frames however the stream is split") {
  CHECK(rc::check([](const std::vector<Bytes>& frames, std::uint64_t seed) {
    Bytes stream;
    for (const Bytes& frame : frames) {
      const Bytes encoded = EncodeFrame(frame);
      stream.insert(stream.end(), encoded.begin(), encoded.end());
    }
    SeededRandom random(seed);
    FrameReader reader;
    std::vector<Bytes> received;
    std::span<const std::uint8_t> rest(stream);
    while (!rest.empty()) {
      const std::size_t size =
          1 + random.Below(std::min<std::size_t>(rest.size(), 20));
      reader.Append(rest.first(size));
      rest = rest.subspan(size);
      while (auto frame = reader.Next()) {
        received.push_back(*frame);
      }
    }
    RC_ASSERT(received == frames);
  }));
}

TEST_CASE("FrameReader rejects a frame above the limit before buffering it") {
  FrameReader reader;
  reader.Append(Bytes{0x7F, 0xFF, 0xFF, 0xFF});
  CHECK_FALSE(reader.Next().has_value());
  CHECK(reader.error() == WireError::kTooLarge);
}

}  // namespace fireflytrestle
