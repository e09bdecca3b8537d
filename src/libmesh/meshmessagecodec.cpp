#include "libmesh/meshmessagecodec.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libbase/errorcode.h"
#include "libmesh/msgpacknesting.h"

namespace fireflytrestle {

namespace {

/// Valid messages nest two levels: the message and the lists in it.
constexpr std::size_t kMaxNesting = 8;

using Json = nlohmann::json;

// First element of each message; identifies its type.
enum class Tag : std::uint8_t {
  kHello = 1,
  kHeartbeat = 2,
  kAnswer = 3,
  kDelta = 4,
  kDocument = 5,
};

template <typename T>
std::uint64_t Number(T value) {
  return static_cast<std::uint64_t>(value);
}

void AppendVersion(const ViewVersion& version, Json* array) {
  array->push_back(Number(version.configuration));
  array->push_back(version.configuration_digest);
  array->push_back(Number(version.instances));
  array->push_back(version.instances_digest);
}

Json EncodeEntries(const std::map<std::string, std::string>& entries) {
  Json flat = Json::array();
  for (const auto& [key, value] : entries) {
    flat.push_back(key);
    flat.push_back(value);
  }
  return flat;
}

Json ToArray(const MeshHello& hello) {
  return Json::array({Number(Tag::kHello), Number(hello.id), hello.leaf});
}

Json ToArray(const MeshHeartbeat& heartbeat) {
  Json array = Json::array({Number(Tag::kHeartbeat), heartbeat.number});
  AppendVersion(heartbeat.version, &array);
  array.push_back(Number(heartbeat.service_contact_age.count()));
  return array;
}

Json ToArray(const MeshHeartbeatAnswer& answer) {
  Json array = Json::array({Number(Tag::kAnswer), answer.number});
  AppendVersion(answer.version, &array);
  array.push_back(Number(answer.service_contact_age.count()));
  array.push_back(answer.confirmed);
  Json alternatives = Json::array();
  for (const SocketAddress& address : answer.alternatives) {
    alternatives.push_back(address.ipv4);
    alternatives.push_back(address.port);
  }
  array.push_back(std::move(alternatives));
  return array;
}

Json ToArray(const MeshDelta& message) {
  const DocumentDelta& delta = message.delta;
  return Json::array({Number(Tag::kDelta), Number(message.kind),
                      Number(delta.from_revision), delta.from_digest,
                      Number(delta.to_revision), delta.to_digest,
                      EncodeEntries(delta.upserted), delta.removed});
}

Json ToArray(const MeshDocument& message) {
  const VersionedDocument& document = message.document;
  return Json::array({Number(Tag::kDocument), Number(message.kind),
                      Number(document.revision), document.digest,
                      EncodeEntries(document.entries)});
}

/// Reads the elements of one array in order and records whether one was missing
/// or had another type.
class ArrayReader {
 public:
  explicit ArrayReader(const Json& array)
      : m_array(array), m_failed(!array.is_array()) {}

  std::uint64_t Unsigned(
      std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    const Json* element = Next();
    if (element == nullptr || !element->is_number_unsigned()) {
      m_failed = true;
      return 0;
    }
    const auto value = element->get<std::uint64_t>();
    m_failed = m_failed || value > limit;
    return value;
  }

  bool Bool() {
    const Json* element = Next();
    if (element == nullptr || !element->is_boolean()) {
      m_failed = true;
      return false;
    }
    return element->get<bool>();
  }

  std::string Text() {
    const Json* element = Next();
    if (element == nullptr || !element->is_string()) {
      m_failed = true;
      return {};
    }
    return element->get<std::string>();
  }

  /// Calls \p read with a reader of the nested array until all its elements are
  /// read.
  template <typename Read>
  void ForEach(Read read) {
    const Json* element = Next();
    if (element == nullptr) {
      m_failed = true;
      return;
    }
    ArrayReader nested(*element);
    while (!nested.m_failed && nested.m_next < nested.m_array.size()) {
      read(&nested);
    }
    m_failed = m_failed || nested.m_failed;
  }

  ViewVersion Version() {
    ViewVersion version;
    version.configuration = Revision(Unsigned());
    version.configuration_digest = Unsigned();
    version.instances = Revision(Unsigned());
    version.instances_digest = Unsigned();
    return version;
  }

  std::chrono::milliseconds Age() {
    constexpr std::uint64_t kLimit = std::numeric_limits<std::int32_t>::max();
    return std::chrono::milliseconds(Unsigned(kLimit));
  }

  DocumentKind Kind() {
    const std::uint64_t value = Unsigned(2);
    m_failed = m_failed || value == 0;
    return static_cast<DocumentKind>(value);
  }

  std::map<std::string, std::string> Entries() {
    std::map<std::string, std::string> entries;
    ForEach([&entries](ArrayReader* reader) {
      std::string key = reader->Text();
      entries.insert_or_assign(std::move(key), reader->Text());
    });
    return entries;
  }

  /// Returns whether all elements were read and had the expected types.
  bool IsComplete() const { return !m_failed && m_next == m_array.size(); }

 private:
  const Json* Next() {
    return m_failed || m_next >= m_array.size() ? nullptr : &m_array[m_next++];
  }

  const Json& m_array;
  std::size_t m_next = 0;
  bool m_failed;
};

MeshMessage ReadAnswer(ArrayReader* reader) {
  MeshHeartbeatAnswer answer;
  answer.number = reader->Unsigned();
  answer.version = reader->Version();
  answer.service_contact_age = reader->Age();
  answer.confirmed = reader->Bool();
  reader->ForEach([&answer](ArrayReader* nested) {
    SocketAddress address;
    address.ipv4 = static_cast<std::uint32_t>(nested->Unsigned(0xffffffffU));
    address.port = static_cast<std::uint16_t>(nested->Unsigned(0xffffU));
    answer.alternatives.push_back(address);
  });
  return answer;
}

MeshMessage ReadDelta(ArrayReader* reader) {
  MeshDelta message;
  message.kind = reader->Kind();
  message.delta.from_revision = Revision(reader->Unsigned());
  message.delta.from_digest = reader->Unsigned();
  message.delta.to_revision = Revision(reader->Unsigned());
  message.delta.to_digest = reader->Unsigned();
  message.delta.upserted = reader->Entries();
  reader->ForEach([&message](ArrayReader* nested) {
    message.delta.removed.push_back(nested->Text());
  });
  return message;
}

std::optional<MeshMessage> ReadMessage(ArrayReader* reader) {
  switch (static_cast<Tag>(reader->Unsigned(5))) {
    case Tag::kHello: {
      MeshHello hello;
      hello.id = InstanceId(reader->Unsigned());
      hello.leaf = reader->Bool();
      return hello;
    }
    case Tag::kHeartbeat: {
      MeshHeartbeat heartbeat;
      heartbeat.number = reader->Unsigned();
      heartbeat.version = reader->Version();
      heartbeat.service_contact_age = reader->Age();
      return heartbeat;
    }
    case Tag::kAnswer:
      return ReadAnswer(reader);
    case Tag::kDelta:
      return ReadDelta(reader);
    case Tag::kDocument: {
      MeshDocument message;
      message.kind = reader->Kind();
      message.document.revision = Revision(reader->Unsigned());
      message.document.digest = reader->Unsigned();
      message.document.entries = reader->Entries();
      return message;
    }
  }
  return std::nullopt;
}

}  // namespace

std::vector<std::uint8_t> EncodeMeshMessage(const MeshMessage& message) {
  return Json::to_msgpack(
      std::visit([](const auto& value) { return ToArray(value); }, message));
}

boost::leaf::result<MeshMessage> DecodeMeshMessage(
    std::span<const std::uint8_t> frame) {
  // from_msgpack() recurses once for each level of nesting, so deep nesting
  // would overflow the stack.
  if (!IsNestedWithin(frame, kMaxNesting)) {
    return boost::leaf::new_error(ErrorCode::kNetwork);
  }
  const Json array =
      Json::from_msgpack(frame.begin(), frame.end(), true, false);
  ArrayReader reader(array);
  std::optional<MeshMessage> message = ReadMessage(&reader);
  if (!message || !reader.IsComplete()) {
    return boost::leaf::new_error(ErrorCode::kNetwork);
  }
  return std::move(*message);
}

}  // namespace fireflytrestle
