#include "libwire/callermessagecodec.h"

#include <algorithm>
#include <limits>

#include "libwire/msgpackreader.h"
#include "libwire/msgpackwriter.h"

namespace fireflytrestle {

namespace {

// First element of each message's array. The numbers are part of the protocol.
enum class Kind : std::uint8_t {
  kOpen = 1,
  kRequest = 2,
  kAck = 3,
  kCancel = 4,
  kPing = 5,
  kClose = 6,
  kAccepted = 16,
  kOpenRefused = 17,
  kRefused = 18,
  kOutcomeUnknown = 19,
  kPart = 20,
  kPong = 21,
  kHandover = 22,
  kReset = 23,
};

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

class Encoder {
 public:
  explicit Encoder(std::span<std::uint8_t> out) : m_writer(out) {}

  void operator()(const OpenMessage& m) {
    StartMessage(Kind::kOpen, 1);
    m_writer.WriteBinary(m.nonce);
  }
  void operator()(const RequestMessage& m) {
    StartMessage(Kind::kRequest, 7);
    m_writer.WriteBinary(m.flow);
    m_writer.WriteUint(m.sequence);
    m_writer.WriteUint(static_cast<std::uint64_t>(m.kind));
    m_writer.WriteBool(m.non_idempotent);
    m_writer.WriteUint(static_cast<std::uint64_t>(
        std::clamp<std::int64_t>(m.budget.count(), 0, kMaxUint32)));
    m_writer.WriteUint(m.resume_after);
    m_writer.WriteBinary(m.body);
  }
  void operator()(const AckMessage& m) {
    StartMessage(Kind::kAck, 5);
    m_writer.WriteBinary(m.flow);
    m_writer.WriteUint(m.sequence);
    m_writer.WriteUint(m.attempt);
    m_writer.WriteUint(m.next_part);
    m_writer.WriteUint(m.missing);
  }
  void operator()(const CancelMessage& m) {
    WriteFlowAndSequence(Kind::kCancel, m.flow, m.sequence);
  }
  void operator()(const PingMessage& m) { WriteFlowOnly(Kind::kPing, m.flow); }
  void operator()(const CloseMessage& m) {
    WriteFlowOnly(Kind::kClose, m.flow);
  }
  void operator()(const AcceptedMessage& m) {
    StartMessage(Kind::kAccepted, 2);
    m_writer.WriteBinary(m.nonce);
    m_writer.WriteBinary(m.flow);
  }
  void operator()(const OpenRefusedMessage& m) {
    StartMessage(Kind::kOpenRefused, 2);
    m_writer.WriteBinary(m.nonce);
    m_writer.WriteUint(static_cast<std::uint64_t>(m.reason));
  }
  void operator()(const RefusedMessage& m) {
    StartMessage(Kind::kRefused, 3);
    m_writer.WriteBinary(m.flow);
    m_writer.WriteUint(m.sequence);
    m_writer.WriteUint(static_cast<std::uint64_t>(m.reason));
  }
  void operator()(const OutcomeUnknownMessage& m) {
    WriteFlowAndSequence(Kind::kOutcomeUnknown, m.flow, m.sequence);
  }
  void operator()(const PartMessage& m) {
    StartMessage(Kind::kPart, 6);
    m_writer.WriteBinary(m.flow);
    m_writer.WriteUint(m.sequence);
    m_writer.WriteUint(m.attempt);
    m_writer.WriteUint(m.index);
    m_writer.WriteUint(m.count);
    m_writer.WriteBinary(m.body);
  }
  void operator()(const PongMessage& m) { WriteFlowOnly(Kind::kPong, m.flow); }
  void operator()(const HandoverMessage& m) {
    WriteFlowOnly(Kind::kHandover, m.flow);
  }
  void operator()(const ResetMessage& m) {
    WriteFlowOnly(Kind::kReset, m.flow);
  }

  std::size_t Finish() const { return m_writer.Finish(); }

 private:
  void StartMessage(Kind kind, std::uint32_t fields) {
    m_writer.WriteArray(fields + 1);
    m_writer.WriteUint(static_cast<std::uint64_t>(kind));
  }
  void WriteFlowOnly(Kind kind, const FlowToken& flow) {
    StartMessage(kind, 1);
    m_writer.WriteBinary(flow);
  }
  void WriteFlowAndSequence(Kind kind,
                            const FlowToken& flow,
                            std::uint32_t sequence) {
    StartMessage(kind, 2);
    m_writer.WriteBinary(flow);
    m_writer.WriteUint(sequence);
  }

  MsgpackWriter m_writer;
};

class Decoder {
 public:
  Decoder(std::span<const std::uint8_t> datagram, CallerMessage* message)
      : m_reader(datagram), m_message(message) {}

  WireError Decode() {
    m_size = m_reader.ReadArray();
    const std::uint64_t kind = m_reader.ReadUint(0, 255);
    if (!m_reader.ok()) {
      return m_reader.Finish();
    }
    switch (static_cast<Kind>(kind)) {
      case Kind::kOpen:
        return ReadOpen();
      case Kind::kRequest:
        return ReadRequest();
      case Kind::kAck:
        return ReadAck();
      case Kind::kCancel:
        return ReadFlowAndSequence<CancelMessage>();
      case Kind::kPing:
        return ReadFlowOnly<PingMessage>();
      case Kind::kClose:
        return ReadFlowOnly<CloseMessage>();
      case Kind::kAccepted:
        return ReadAccepted();
      case Kind::kOpenRefused:
        return ReadOpenRefused();
      case Kind::kRefused:
        return ReadRefused();
      case Kind::kOutcomeUnknown:
        return ReadFlowAndSequence<OutcomeUnknownMessage>();
      case Kind::kPart:
        return ReadPart();
      case Kind::kPong:
        return ReadFlowOnly<PongMessage>();
      case Kind::kHandover:
        return ReadFlowOnly<HandoverMessage>();
      case Kind::kReset:
        return ReadFlowOnly<ResetMessage>();
    }
    return WireError::kUnknownKind;
  }

 private:
  template <typename T>
  T& StartMessage(std::uint32_t fields) {
    if (m_size != fields + 1) {
      m_reader.Fail(WireError::kMalformed);
    }
    return m_message->emplace<T>();
  }

  void ReadSequence(std::uint32_t* sequence) {
    m_reader.Read(sequence, 1, kMaxUint32);
  }

  void ReadReason(RefusalReason* reason) {
    m_reader.Read(reason,
                  static_cast<std::uint64_t>(RefusalReason::kOverloaded),
                  static_cast<std::uint64_t>(RefusalReason::kInvalid));
  }

  template <typename T>
  WireError ReadFlowOnly() {
    T& m = StartMessage<T>(1);
    m_reader.Read(&m.flow);
    return m_reader.Finish();
  }

  template <typename T>
  WireError ReadFlowAndSequence() {
    T& m = StartMessage<T>(2);
    m_reader.Read(&m.flow);
    ReadSequence(&m.sequence);
    return m_reader.Finish();
  }

  WireError ReadOpen() {
    auto& m = StartMessage<OpenMessage>(1);
    m_reader.Read(&m.nonce);
    return m_reader.Finish();
  }

  WireError ReadRequest() {
    auto& m = StartMessage<RequestMessage>(7);
    m_reader.Read(&m.flow);
    ReadSequence(&m.sequence);
    m_reader.Read(&m.kind, static_cast<std::uint64_t>(RequestKind::kOrder),
                  static_cast<std::uint64_t>(RequestKind::kDocument));
    m.non_idempotent = m_reader.ReadBool();
    m.budget = std::chrono::milliseconds(m_reader.ReadUint(0, kMaxUint32));
    m_reader.Read(&m.resume_after, 0, kMaxUint32);
    m.body = m_reader.ReadBinary(kMaxDatagramBytes);
    return m_reader.Finish();
  }

  WireError ReadAck() {
    auto& m = StartMessage<AckMessage>(5);
    m_reader.Read(&m.flow);
    ReadSequence(&m.sequence);
    m_reader.Read(&m.attempt, 0, 255);
    m_reader.Read(&m.next_part, 0, kMaxUint32);
    m_reader.Read(&m.missing, 0, kMaxUint32);
    return m_reader.Finish();
  }

  WireError ReadAccepted() {
    auto& m = StartMessage<AcceptedMessage>(2);
    m_reader.Read(&m.nonce);
    m_reader.Read(&m.flow);
    return m_reader.Finish();
  }

  WireError ReadOpenRefused() {
    auto& m = StartMessage<OpenRefusedMessage>(2);
    m_reader.Read(&m.nonce);
    ReadReason(&m.reason);
    return m_reader.Finish();
  }

  WireError ReadRefused() {
    auto& m = StartMessage<RefusedMessage>(3);
    m_reader.Read(&m.flow);
    ReadSequence(&m.sequence);
    ReadReason(&m.reason);
    return m_reader.Finish();
  }

  WireError ReadPart() {
    auto& m = StartMessage<PartMessage>(6);
    m_reader.Read(&m.flow);
    ReadSequence(&m.sequence);
    m_reader.Read(&m.attempt, 0, 255);
    m_reader.Read(&m.index, 0, kMaxUint32);
    m_reader.Read(&m.count, 0, kMaxUint32);
    m.body = m_reader.ReadBinary(kMaxPartBytes);
    return m_reader.Finish();
  }

  MsgpackReader m_reader;
  CallerMessage* m_message;
  std::uint32_t m_size = 0;
};

}  // namespace

std::size_t EncodeCallerMessage(const CallerMessage& message,
                                std::span<std::uint8_t> out) {
  Encoder encoder(out.first(std::min(out.size(), kMaxDatagramBytes)));
  std::visit(encoder, message);
  return encoder.Finish();
}

WireError DecodeCallerMessage(std::span<const std::uint8_t> datagram,
                              CallerMessage* message) {
  if (datagram.size() > kMaxDatagramBytes) {
    return WireError::kTooLarge;
  }
  return Decoder(datagram, message).Decode();
}

}  // namespace fireflytrestle
