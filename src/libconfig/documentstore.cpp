#include "libconfig/documentstore.h"

#include <set>
#include <tuple>
#include <utility>

namespace fireflytrestle {

namespace {

bool IsNewer(const DocumentDelta& delta, const VersionedDocument& document) {
  return std::tie(document.revision, document.digest) <
         std::tie(delta.to_revision, delta.to_digest);
}

}  // namespace

DocumentStore::DocumentStore(Validator validator, std::size_t history)
    : m_validator(std::move(validator)), m_max_history(history) {}

DocumentStore::Outcome DocumentStore::Install(VersionedDocument document) {
  if (!IsOlder(m_document, document)) {
    return Outcome::kNotNewer;
  }
  if (document.revision == Revision{} ||
      ComputeDigest(document.entries) != document.digest) {
    ++m_invalid_count;
    return Outcome::kInvalid;
  }
  DocumentDelta step = ComputeDelta(m_document, document);
  return ValidateAndInstall(std::move(document), std::move(step));
}

DocumentStore::Outcome DocumentStore::Install(const DocumentDelta& delta) {
  if (!IsNewer(delta, m_document)) {
    return Outcome::kNotNewer;
  }
  if (delta.from_revision != m_document.revision ||
      delta.from_digest != m_document.digest) {
    return Outcome::kBaseMismatch;
  }
  auto result = ApplyDelta(m_document, delta);
  if (!result) {
    ++m_invalid_count;
    return Outcome::kInvalid;
  }
  return ValidateAndInstall(std::move(result.value()), delta);
}

const DocumentDelta* DocumentStore::last_delta() const {
  return m_history.empty() ? nullptr : &m_history.back();
}

std::optional<DocumentDelta> DocumentStore::DeltaFrom(
    Revision revision,
    std::uint64_t digest) const {
  DocumentDelta result{revision,          digest, m_document.revision,
                       m_document.digest, {},     {}};
  std::set<std::string> changed_keys;
  for (auto step = m_history.rbegin(); step != m_history.rend(); ++step) {
    for (const auto& [key, value] : step->upserted) {
      changed_keys.insert(key);
    }
    changed_keys.insert(step->removed.begin(), step->removed.end());
    if (step->from_revision != revision || step->from_digest != digest) {
      continue;
    }
    for (const std::string& key : changed_keys) {
      const auto entry = m_document.entries.find(key);
      if (entry == m_document.entries.end()) {
        result.removed.push_back(key);
      } else {
        result.upserted.insert(*entry);
      }
    }
    return result;
  }
  return std::nullopt;
}

DocumentStore::Outcome DocumentStore::ValidateAndInstall(
    VersionedDocument document,
    DocumentDelta step) {
  if (!m_validator(document)) {
    ++m_invalid_count;
    return Outcome::kInvalid;
  }
  const bool first = m_document.revision == Revision{};
  m_document = std::move(document);
  if (first) {
    // The delta from the empty document would be a second copy of the whole
    // document.
    return Outcome::kInstalled;
  }
  m_history.push_back(std::move(step));
  if (m_history.size() > m_max_history) {
    m_history.pop_front();
  }
  return Outcome::kInstalled;
}

}  // namespace fireflytrestle
