#include "libwire/envelopecodec.h"

#include <algorithm>
#include <limits>

#include "libwire/callermessage.h"
#include "libwire/msgpackreader.h"
#include "libwire/msgpackwriter.h"

namespace fireflytrestle {

namespace {

constexpr std::uint64_t kMaxUint16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

// Largest msgpack encodings of the fields around the payload, in bytes.
constexpr std::size_t kFixFormatBytes = 1;
constexpr std::size_t kUint16Bytes = 3;
constexpr std::size_t kUint32Bytes = 5;
constexpr std::size_t kUint64Bytes = 9;
constexpr std::size_t kStatusBytes =
    2 * kFixFormatBytes + 2 * kUint32Bytes + kUint64Bytes;
constexpr std::size_t kTriedBytes =
    kFixFormatBytes + kMaxOpenAttempts * kUint32Bytes;
constexpr std::size_t kPayloadHeaderBytes = 3;
constexpr std::size_t kOverheadBytes = 2 * kFixFormatBytes + 2 * kUint32Bytes +
                                       kUint16Bytes + kStatusBytes +
                                       kTriedBytes + kPayloadHeaderBytes;
static_assert(kOverheadBytes <= kMaxEnvelopeOverheadBytes);

constexpr std::uint32_t kEnvelopeFields = 7;
constexpr std::uint32_t kStatusFields = 4;

}  // namespace

std::size_t EncodeEnvelope(const Envelope& envelope,
                           std::span<std::uint8_t> out) {
  if (envelope.payload.size() > kMaxDatagramBytes) {
    return 0;
  }
  MsgpackWriter writer(out);
  writer.WriteArray(kEnvelopeFields);
  writer.WriteUint(static_cast<std::uint64_t>(envelope.kind));
  writer.WriteUint(envelope.caller.ipv4);
  writer.WriteUint(envelope.caller.port);
  writer.WriteUint(static_cast<std::uint64_t>(envelope.service));
  if (envelope.status) {
    writer.WriteArray(kStatusFields);
    writer.WriteUint(static_cast<std::uint64_t>(envelope.status->target));
    writer.WriteUint(static_cast<std::uint64_t>(envelope.status->state));
    writer.WriteUint(envelope.status->open_flows);
    writer.WriteUint(static_cast<std::uint64_t>(envelope.status->revision));
  } else {
    writer.WriteNil();
  }
  const std::size_t attempts =
      std::min<std::size_t>(envelope.attempts, kMaxOpenAttempts);
  writer.WriteArray(static_cast<std::uint32_t>(attempts));
  for (std::size_t i = 0; i < attempts; ++i) {
    writer.WriteUint(static_cast<std::uint64_t>(envelope.tried[i]));
  }
  writer.WriteBinary(envelope.payload);
  return writer.Finish();
}

WireError DecodeEnvelope(std::span<const std::uint8_t> datagram,
                         Envelope* envelope) {
  if (datagram.size() > kMaxDatagramBytes + kMaxEnvelopeOverheadBytes) {
    return WireError::kTooLarge;
  }
  MsgpackReader reader(datagram);
  reader.ReadArrayOf(kEnvelopeFields);
  const std::uint64_t kind = reader.ReadUint(0, 255);
  if (reader.ok() &&
      (kind < static_cast<std::uint64_t>(EnvelopeKind::kCaller) ||
       kind > static_cast<std::uint64_t>(EnvelopeKind::kBounce))) {
    return WireError::kUnknownKind;
  }
  envelope->kind = static_cast<EnvelopeKind>(kind);
  reader.Read(&envelope->caller.ipv4, 0, kMaxUint32);
  reader.Read(&envelope->caller.port, 0, kMaxUint16);
  reader.Read(&envelope->service, 0, kMaxUint32);
  envelope->status.reset();
  if (!reader.TryReadNil()) {
    AgentStatus& status = envelope->status.emplace();
    reader.ReadArrayOf(kStatusFields);
    reader.Read(&status.target, 0, kMaxUint32);
    reader.Read(&status.state, static_cast<std::uint64_t>(TargetState::kWarm),
                static_cast<std::uint64_t>(TargetState::kUnavailable));
    reader.Read(&status.open_flows, 0, kMaxUint32);
    reader.Read(&status.revision, 0, kMaxUint64);
  }
  const std::uint32_t attempts = reader.ReadArray();
  if (attempts > kMaxOpenAttempts) {
    reader.Fail(WireError::kOutOfRange);
    return reader.Finish();
  }
  envelope->attempts = static_cast<std::uint8_t>(attempts);
  envelope->tried = {};
  for (std::uint32_t i = 0; i < attempts; ++i) {
    reader.Read(&envelope->tried[i], 0, kMaxUint32);
  }
  envelope->payload = reader.ReadBinary(kMaxDatagramBytes);
  return reader.Finish();
}

}  // namespace fireflytrestle
