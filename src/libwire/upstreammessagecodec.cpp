#include "libwire/upstreammessagecodec.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libwire/framereader.h"
#include "libwire/msgpackreader.h"
#include "libwire/msgpackwriter.h"

// Uses msgpuck instead of nlohmann-json, because json::from_msgpack() recurses
// once per nested array, so a frame of 0x91 bytes would exhaust the stack.

namespace fireflytrestle {

namespace {

// First element of each message's array. The numbers are part of the protocol.
enum class Kind : std::uint8_t {
  kHello = 1,
  kRequest = 2,
  kPart = 3,
  kEvent = 4,
  kShed = 5,
  kCancel = 6,
  kCancelled = 7,
  kPing = 8,
  kPong = 9,
};

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
/// Upper bound on the encoded size of all fields except the body.
constexpr std::size_t kHeaderBytes = 64;

std::size_t BodyBytes(const UpstreamMessage& message) {
  return std::visit(
      [](const auto& m) -> std::size_t {
        if constexpr (requires { m.body; }) {
          return m.body.size();
        }
        return 0;
      },
      message);
}

class Encoder {
 public:
  explicit Encoder(std::span<std::uint8_t> out) : m_writer(out) {}

  void operator()(const UpstreamHello& m) {
    StartMessage(Kind::kHello, 2);
    m_writer.WriteUint(m.start_identity);
    m_writer.WriteBool(m.cold);
  }
  void operator()(const UpstreamRequest& m) {
    StartMessage(Kind::kRequest, 7);
    m_writer.WriteUint(m.number);
    m_writer.WriteUint(m.attempt);
    m_writer.WriteUint(static_cast<std::uint64_t>(m.kind));
    m_writer.WriteBool(m.non_idempotent);
    m_writer.WriteUint(static_cast<std::uint64_t>(
        std::clamp<std::int64_t>(m.deadline.count(), 0, kMaxUint32)));
    m_writer.WriteUint(m.resume_after);
    m_writer.WriteBinary(m.body);
  }
  void operator()(const UpstreamPart& m) {
    StartMessage(Kind::kPart, 4);
    m_writer.WriteUint(m.number);
    m_writer.WriteUint(m.attempt);
    m_writer.WriteBinary(m.body);
    m_writer.WriteBool(m.last);
  }
  void operator()(const UpstreamEvent& m) {
    StartMessage(Kind::kEvent, 3);
    m_writer.WriteUint(m.number);
    m_writer.WriteUint(m.event);
    m_writer.WriteBinary(m.body);
  }
  void operator()(const UpstreamShed& m) {
    StartMessage(Kind::kShed, 1);
    m_writer.WriteUint(m.number);
  }
  void operator()(const UpstreamCancel& m) {
    StartMessage(Kind::kCancel, 1);
    m_writer.WriteUint(m.number);
  }
  void operator()(const UpstreamCancelled& m) {
    StartMessage(Kind::kCancelled, 2);
    m_writer.WriteUint(m.number);
    m_writer.WriteBool(m.started);
  }
  void operator()(const UpstreamPing&) { StartMessage(Kind::kPing, 0); }
  void operator()(const UpstreamPong& m) {
    StartMessage(Kind::kPong, 2);
    m_writer.WriteUint(m.start_identity);
    m_writer.WriteBool(m.draining);
  }

  std::size_t Finish() const { return m_writer.Finish(); }

 private:
  void StartMessage(Kind kind, std::uint32_t fields) {
    m_writer.WriteArray(fields + 1);
    m_writer.WriteUint(static_cast<std::uint64_t>(kind));
  }

  MsgpackWriter m_writer;
};

class Decoder {
 public:
  explicit Decoder(std::span<const std::uint8_t> frame) : m_reader(frame) {}

  WireError Decode(UpstreamMessage* message) {
    m_size = m_reader.ReadArray();
    const std::uint64_t kind = m_reader.ReadUint(0, 255);
    if (!m_reader.ok()) {
      return m_reader.Finish();
    }
    UpstreamMessage decoded;
    if (!ReadFields(static_cast<Kind>(kind), &decoded)) {
      return WireError::kUnknownKind;
    }
    const WireError error = m_reader.Finish();
    if (error == WireError::kNone) {
      *message = std::move(decoded);
    }
    return error;
  }

 private:
  /// Reads the fields of a message of the given kind. Returns whether the kind
  /// is known; other errors are kept in m_reader.
  bool ReadFields(Kind kind, UpstreamMessage* message) {
    switch (kind) {
      case Kind::kHello:
        Read(&StartMessage<UpstreamHello>(message, 2));
        return true;
      case Kind::kRequest:
        Read(&StartMessage<UpstreamRequest>(message, 7));
        return true;
      case Kind::kPart:
        Read(&StartMessage<UpstreamPart>(message, 4));
        return true;
      case Kind::kEvent:
        Read(&StartMessage<UpstreamEvent>(message, 3));
        return true;
      case Kind::kShed:
        ReadNumber(&StartMessage<UpstreamShed>(message, 1).number);
        return true;
      case Kind::kCancel:
        ReadNumber(&StartMessage<UpstreamCancel>(message, 1).number);
        return true;
      case Kind::kCancelled:
        Read(&StartMessage<UpstreamCancelled>(message, 2));
        return true;
      case Kind::kPing:
        StartMessage<UpstreamPing>(message, 0);
        return true;
      case Kind::kPong:
        Read(&StartMessage<UpstreamPong>(message, 2));
        return true;
    }
    return false;
  }

  template <typename T>
  T& StartMessage(UpstreamMessage* message, std::uint32_t fields) {
    if (m_size != fields + 1) {
      m_reader.Fail(WireError::kMalformed);
    }
    return message->emplace<T>();
  }

  void ReadNumber(std::uint64_t* number) {
    m_reader.Read(number, 0, kMaxUint64);
  }

  void ReadBody(std::vector<std::uint8_t>* body) {
    const std::span<const std::uint8_t> bytes =
        m_reader.ReadBinary(kMaxFrameBytes);
    body->assign(bytes.begin(), bytes.end());
  }

  void Read(UpstreamHello* m) {
    ReadNumber(&m->start_identity);
    m->cold = m_reader.ReadBool();
  }
  void Read(UpstreamRequest* m) {
    ReadNumber(&m->number);
    m_reader.Read(&m->attempt, 0, 255);
    m_reader.Read(&m->kind, static_cast<std::uint64_t>(RequestKind::kOrder),
                  static_cast<std::uint64_t>(RequestKind::kDocument));
    m->non_idempotent = m_reader.ReadBool();
    m->deadline = std::chrono::milliseconds(m_reader.ReadUint(0, kMaxUint32));
    m_reader.Read(&m->resume_after, 0, kMaxUint32);
    ReadBody(&m->body);
  }
  void Read(UpstreamPart* m) {
    ReadNumber(&m->number);
    m_reader.Read(&m->attempt, 0, 255);
    ReadBody(&m->body);
    m->last = m_reader.ReadBool();
  }
  void Read(UpstreamEvent* m) {
    ReadNumber(&m->number);
    m_reader.Read(&m->event, 0, kMaxUint32);
    ReadBody(&m->body);
  }
  void Read(UpstreamCancelled* m) {
    ReadNumber(&m->number);
    m->started = m_reader.ReadBool();
  }
  void Read(UpstreamPong* m) {
    ReadNumber(&m->start_identity);
    m->draining = m_reader.ReadBool();
  }

  MsgpackReader m_reader;
  std::uint32_t m_size = 0;
};

}  // namespace

std::vector<std::uint8_t> EncodeUpstreamMessage(
    const UpstreamMessage& message) {
  std::vector<std::uint8_t> bytes(kHeaderBytes + BodyBytes(message));
  Encoder encoder(bytes);
  std::visit(encoder, message);
  bytes.resize(encoder.Finish());
  return bytes;
}

WireError DecodeUpstreamMessage(std::span<const std::uint8_t> frame,
                                UpstreamMessage* message) {
  return Decoder(frame).Decode(message);
}

}  // namespace fireflytrestle
