#ifndef FIREFLYTRESTLE_TESTS_FAKES_FAKEREQUESTBODY_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FAKEREQUESTBODY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fireflytrestle {

/// \brief Body of a request from a fake caller. The fake upstream checks it and
/// derives the answer from it.
struct FakeRequestBody {
  std::string service;
  /// Unique for each request of a caller.
  std::string id;
  int attempt = 1;

  std::string AttemptKey() const { return id + "/" + std::to_string(attempt); }
};

std::vector<std::uint8_t> WriteBody(const FakeRequestBody& body);
std::optional<FakeRequestBody> ReadBody(std::span<const std::uint8_t> bytes);

std::string OrderAnswer(const std::string& id);
/// Returns 2000 lines that each contain \p id, about 65 kB for the ids of the
/// fake callers.
std::string DocumentAnswer(const std::string& id);
std::string EventBody(const std::string& id, std::uint32_t event);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FAKEREQUESTBODY_H_
