#include "libconfig/configurationcodec.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "drawconfiguration.h"
#include "libbase/errorcode.h"
#include "libconfig/instancerecord.h"

namespace fireflytrestle {
namespace {

/// Decodes the published form; empty if it is rejected.
std::optional<Configuration> Read(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Configuration>> {
        BOOST_LEAF_AUTO(document, ReadDocument(text));
        BOOST_LEAF_AUTO(configuration, FromDocument(document));
        return configuration;
      },
      [](const std::vector<Fault>& faults) -> std::optional<Configuration> {
        RC_ASSERT(!faults.empty());
        return std::nullopt;
      },
      []() -> std::optional<Configuration> { RC_FAIL("no fault named"); });
}

ErrorCode ReadError(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ErrorCode> {
        BOOST_LEAF_CHECK(ReadDocument(text));
        return ErrorCode::kNetwork;
      },
      [](ErrorCode code) { return code; }, [] { return ErrorCode::kNetwork; });
}

}  // namespace

TEST_CASE("a configuration is decoded as it was encoded") {
  const bool passed = rc::check([] {
    const Configuration configuration = DrawConfiguration();
    const std::string text = WriteDocument(ToDocument(configuration));
    RC_ASSERT(Read(text) == configuration);
  });
  CHECK(passed);
}

TEST_CASE("a mutated configuration is rejected or decodes unchanged") {
  // Guards against a crash, and against a damaged file that decodes to a
  // different configuration.
  const bool passed = rc::check([] {
    const Configuration configuration = DrawConfiguration();
    std::string text = WriteDocument(ToDocument(configuration));
    // Half of the mutations are near the start, where the revision is.
    const auto position = *rc::gen::inRange<std::size_t>(
        0, *rc::gen::element<std::size_t>(16, text.size()));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[position] = *rc::gen::elementOf(std::string("0123456789aZ}\xff"));
        break;
      case 1:
        text.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
        break;
      case 2:
        text.insert(position, *rc::gen::element<std::string>(
                                  "0", "\"", "{", "]", ",", "null", "[[[["));
        break;
      default:
        text.insert(position, text.substr(position / 2, 60));
    }
    const std::optional<Configuration> read = Read(text);
    // RC_ASSERT without the inner parentheses evaluates both sides of ||.
    RC_ASSERT((!read || *read == configuration));
  });
  CHECK(passed);
}

TEST_CASE("inconsistent entries are rejected with every fault") {
  // Guards against a configuration with a valid digest and invalid content.
  VersionedDocument document;
  document.revision = Revision{1};
  document.entries = {
      {"next-ids", "[2,1,1]"},
      {"service/1", R"(["a","10.0.0.1:80",[["x","order",true]],0,0])"},
      {"service/2", R"(["a","10.0.0.1:80",[],0,0])"},
      {"target/1", R"([9,9,"10.0.0.2:1",0,0,0,0,0])"},
      {"target/2", R"([1,1,"10.0.0.2:1",1,1,2,1,9000000])"},
      {"zone/1", R"(["","r",false])"}};
  const auto count_faults = [&document] {
    document.digest = ComputeDigest(document.entries);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::size_t> {
          BOOST_LEAF_CHECK(FromDocument(document));
          return 0;
        },
        [](const std::vector<Fault>& faults) { return faults.size(); },
        [] { return std::size_t{0}; });
  };
  CHECK(count_faults() == 15);
  // Each malformed entry is reported as one fault: consistency is checked only
  // if all entries are well-formed.
  for (const auto& [key, value] : std::map<std::string, std::string>{
           {"zone/01", R"(["z","r",false])"},
           {"zone/65536", R"(["z","r",false])"},
           {"zone/2", R"(["z","r",false,1])"},
           {"service/3", R"(["b","10.0.0.1:81",[["x","poem",true]],0,0])"},
           {"target/3", R"([1,1,"10.0.0.2:3",-1,1,1,1,1])"},
           {"target/4", R"([1,1,"10.0.0.2:3",4294967296,1,1,1,1])"},
           {"quota/1", "1"}}) {
    document.entries = {{key, value}};
    CHECK_MESSAGE(count_faults() == 1, key);
  }
}

TEST_CASE("a bad published form is rejected with the right error code") {
  CHECK(ReadError("") == ErrorCode::kInvalidConfiguration);
  // Guards against deep nesting that exhausts the stack by recursion.
  constexpr std::size_t kDepth = 450'000;
  CHECK(ReadError(R"({"revision":1,"digest":"","entries":{"a":)" +
                  std::string(kDepth, '[') + std::string(kDepth, ']') + "}}") ==
        ErrorCode::kInvalidConfiguration);
  CHECK(ReadError(std::string(1'000'001, ' ')) == ErrorCode::kTooLarge);
  CHECK(ReadError(R"({"revision":1,"digest":"1:0000000000000000",
                      "entries":{"zone/1":["z","r",true]}})") ==
        ErrorCode::kDigestMismatch);
  // Guards against a damaged revision that makes the document appear newer.
  VersionedDocument document;
  document.revision = Revision{1};
  document.digest = ComputeDigest(document.entries);
  std::string text = WriteDocument(document);
  text.insert(text.find(",\"digest\""), "0");
  CHECK(ReadError(text) == ErrorCode::kDigestMismatch);
}

TEST_CASE("a configuration of the design size fits into one megabyte") {
  // The design size is 8,600 targets, 2,700 services and 15 zones (design page,
  // section 1.5); names and addresses have typical lengths.
  Configuration configuration;
  configuration.revision = Revision{401'500};
  const auto name = [](std::uint32_t number) {
    return "service-" + std::to_string(number);
  };
  constexpr std::uint32_t kAddress = 0x0a646464;
  for (std::uint16_t i = 1; i <= 15; ++i) {
    configuration.zones.push_back(
        {ZoneId{i}, "zone-" + std::to_string(i), "region", false});
  }
  for (std::uint32_t i = 1; i <= 2700; ++i) {
    configuration.services.push_back(
        {ServiceId{i},
         name(i),
         SocketAddress{kAddress + i, 40443},
         {{"loom status", RequestKind::kFeed, true},
          {"rush order", RequestKind::kOrder, false},
          {"panel drawing", RequestKind::kDocument, true}},
         9000,
         14});
  }
  for (std::uint32_t i = 1; i <= 8600; ++i) {
    configuration.targets.push_back(
        {TargetId{i}, ServiceId{i % 2700 + 1},
         ZoneId{static_cast<std::uint16_t>(i % 15 + 1)},
         SocketAddress{kAddress - i, 21000}, 3, 2000, 1, 100,
         std::chrono::milliseconds(30000)});
  }
  const std::string text = WriteDocument(ToDocument(configuration));
  CHECK(text.size() <= kMaximumDocumentBytes);
  CHECK(Read(text) == configuration);
}

TEST_CASE("instance records are decoded and malformed ones are skipped") {
  const InstanceRecord balancer{InstanceId{UINT64_MAX},
                                "addis",
                                "bole",
                                InstanceRecord::Role::kBalancer,
                                SocketAddress{0x7f000001, 9000},
                                TargetId{},
                                true};
  const InstanceRecord agent{
      InstanceId{4},   "addis",     "kality", InstanceRecord::Role::kAgent,
      SocketAddress{}, TargetId{7}, false};
  VersionedDocument document;
  document.entries = {ToEntry(balancer), ToEntry(agent)};
  for (const char* text :
       {"", "[]", "{}", R"({"region":"r","zone":"z"})",
        R"({"region":"r","zone":"z","target":-1})",
        R"({"region":"r","zone":"z","target":1,"mesh_address":"1.2.3.4:5"})",
        R"({"region":"r","zone":"z","mesh_address":"host:5"})",
        R"({"region":1,"zone":"z","target":1})"}) {
    document.entries["instance/9" + std::to_string(document.entries.size())] =
        text;
  }
  document.entries["instance/x"] = ToEntry(agent).second;
  // Guards against one odd entry that ends the readers of the list (LOST).
  const std::string nested =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  document.entries["instance/80"] = nested;
  document.entries["instance/81"] =
      R"({"region":"r","zone":"z","leaving":)" + nested + R"(,"target":1})";
  document.entries["instance/82"] =
      R"({"region":"r","zone":"z","target":1e999})";
  document.entries["instance/83"] =
      R"({"region":"r","zone":"z","mesh_address":"1.2.3.4:70000"})";
  document.entries["instance/99999999999999999999"] = ToEntry(agent).second;
  std::size_t unreadable = 0;
  CHECK(ReadInstances(document, &unreadable) == std::vector{agent, balancer});
  CHECK(unreadable == document.entries.size() - 2);
}

}  // namespace fireflytrestle
