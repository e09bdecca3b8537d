#include "fakes/fakerequestbody.h"

#include <nlohmann/json.hpp>

namespace fireflytrestle {

namespace {

constexpr int kDocumentLines = 2000;

}  // namespace

std::vector<std::uint8_t> WriteBody(const FakeRequestBody& body) {
  const std::string text = nlohmann::json{
      {"service", body.service},
      {"id", body.id},
      {"attempt",
       body.attempt}}.dump();
  return {text.begin(), text.end()};
}

std::optional<FakeRequestBody> ReadBody(std::span<const std::uint8_t> bytes) {
  const auto json =
      nlohmann::json::parse(bytes.begin(), bytes.end(), nullptr, false);
  if (!json.is_object() || !json.contains("service") || !json.contains("id") ||
      !json.contains("attempt")) {
    return std::nullopt;
  }
  return FakeRequestBody{json["service"], json["id"], json["attempt"]};
}

std::string OrderAnswer(const std::string& id) {
  return "order confirmed: " + id;
}

std::string DocumentAnswer(const std::string& id) {
  std::string text;
  for (int line = 0; line < kDocumentLines; ++line) {
    text += id + " line " + std::to_string(line) + "\n";
  }
  return text;
}

std::string EventBody(const std::string& id, std::uint32_t event) {
  return id + " event " + std::to_string(event);
}

}  // namespace fireflytrestle
