#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libconfig/documentstore.h"

namespace fireflytrestle {

namespace {

VersionedDocument ArbitraryDocument(int revisions) {
  VersionedDocument document;
  document.revision = Revision(*rc::gen::inRange(1, revisions + 1));
  const int entries = *rc::gen::inRange(0, 6);
  for (int i = 0; i < entries; ++i) {
    document.entries["target/" + std::to_string(*rc::gen::inRange(0, 8))] =
        std::to_string(*rc::gen::inRange(0, 3));
  }
  document.digest = ComputeDigest(document.entries);
  return document;
}

bool AcceptAll(const VersionedDocument&) {
  return true;
}

}  // namespace

TEST_CASE("DocumentStore installs only newer states and updates peers") {
  // Guards against installing an older revision, and against a delta that does
  // not lead from an earlier state to the one in force.
  CHECK(rc::check([] {
    constexpr std::size_t kCapacity = 4;
    DocumentStore store(AcceptAll, kCapacity);
    std::vector<VersionedDocument> states;
    for (int i = 0; i < 12; ++i) {
      const VersionedDocument before = store.document();
      const VersionedDocument offered = ArbitraryDocument(8);
      const bool installed =
          store.Install(offered) == DocumentStore::Outcome::kInstalled;
      RC_ASSERT(installed == IsOlder(before, offered));
      RC_ASSERT(store.document() == (installed ? offered : before));
      if (installed) {
        states.push_back(offered);
      }
      for (std::size_t age = 0; age < states.size(); ++age) {
        const VersionedDocument& state = states[states.size() - 1 - age];
        const auto delta = store.DeltaFrom(state.revision, state.digest);
        RC_ASSERT(delta.has_value() == (age >= 1 && age <= kCapacity));
        if (delta) {
          DocumentStore peer(AcceptAll);
          peer.Install(state);
          RC_ASSERT(peer.Install(*delta) == DocumentStore::Outcome::kInstalled);
          RC_ASSERT(peer.document() == store.document());
        }
      }
    }
  }));
}

TEST_CASE("DocumentStore converges on one of two equal revisions") {
  // Guards against processes that keep different documents after two operators
  // publish the same revision.
  CHECK(rc::check([] {
    const VersionedDocument first = ArbitraryDocument(1);
    const VersionedDocument second = ArbitraryDocument(1);
    DocumentStore a(AcceptAll);
    DocumentStore b(AcceptAll);
    a.Install(first);
    a.Install(second);
    b.Install(second);
    b.Install(first);
    RC_ASSERT(a.document() == b.document());
  }));
}

TEST_CASE("DocumentStore keeps the last valid document") {
  // Guards against putting a damaged or rejected document in force.
  DocumentStore store([](const VersionedDocument& document) {
    return !document.entries.contains("refused");
  });
  VersionedDocument good{Revision(1), 0, {{"zone/1", "{}"}}};
  good.digest = ComputeDigest(good.entries);
  REQUIRE(store.Install(good) == DocumentStore::Outcome::kInstalled);

  VersionedDocument damaged{Revision(2), good.digest, {{"zone/1", "[]"}}};
  CHECK(store.Install(damaged) == DocumentStore::Outcome::kInvalid);
  VersionedDocument refused{Revision(3), 0, {{"refused", "{}"}}};
  refused.digest = ComputeDigest(refused.entries);
  CHECK(store.Install(refused) == DocumentStore::Outcome::kInvalid);
  CHECK(store.Install(ComputeDelta(good, refused)) ==
        DocumentStore::Outcome::kInvalid);
  DocumentDelta damaged_delta = ComputeDelta(good, refused);
  ++damaged_delta.to_digest;
  CHECK(store.Install(damaged_delta) == DocumentStore::Outcome::kInvalid);
  CHECK(store.Install(ComputeDelta(refused, damaged)) ==
        DocumentStore::Outcome::kBaseMismatch);
  CHECK(store.document() == good);
  CHECK(store.invalid_count() == 4);
}

}  // namespace fireflytrestle
