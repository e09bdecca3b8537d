#ifndef FIREFLYTRESTLE_LIBCONFIG_DOCUMENTSTORE_H_
#define FIREFLYTRESTLE_LIBCONFIG_DOCUMENTSTORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "libconfig/documentdelta.h"
#include "libconfig/versioneddocument.h"

namespace fireflytrestle {

/// \brief Holds the newest valid state of one versioned document and a bounded
/// history of the deltas that led to it.
///
/// The document never reverts to an older state: a state that is not newer
/// according to IsOlder() is rejected, and so is one with a wrong digest or one
/// that the validator rejects.
class DocumentStore {
 public:
  enum class Outcome {
    kInstalled,
    /// Equal to or older than the document in force.
    kNotNewer,
    /// The digest is wrong, or the validator rejected the document.
    kInvalid,
    /// The delta does not start at the document in force.
    kBaseMismatch,
  };

  /// Returns whether a newer document with a correct digest may be put in
  /// force.
  using Validator = std::function<bool(const VersionedDocument&)>;

  /// Number of deltas that are kept. This is more than the changes in an hour
  /// at the design size (46 of the configuration, about 170 of the instance
  /// list), so a process that was disconnected for an hour does not need the
  /// whole document.
  static constexpr std::size_t kMaxHistory = 512;

  explicit DocumentStore(Validator validator,
                         std::size_t history = kMaxHistory);

  /// Puts \p document in force if it is newer than the current one and valid.
  Outcome Install(VersionedDocument document);

  /// Applies \p delta to the document in force if it starts there and its
  /// result is newer and valid.
  Outcome Install(const DocumentDelta& delta);

  /// Returns the document in force; before the first installation, it has
  /// revision 0 and no entries.
  const VersionedDocument& document() const { return m_document; }

  /// Returns the delta from the previous document to the one in force; null
  /// before the second installation.
  const DocumentDelta* last_delta() const;

  /// Returns the delta from the state with \p revision and \p digest to the
  /// document in force; empty if the history does not reach back to that state.
  std::optional<DocumentDelta> DeltaFrom(Revision revision,
                                         std::uint64_t digest) const;

  std::uint64_t invalid_count() const { return m_invalid_count; }

 private:
  Outcome ValidateAndInstall(VersionedDocument document, DocumentDelta step);

  Validator m_validator;
  std::size_t m_max_history;
  VersionedDocument m_document;
  /// Each delta starts where the one before it ends; the last one ends at
  /// m_document.
  std::deque<DocumentDelta> m_history;
  std::uint64_t m_invalid_count = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_DOCUMENTSTORE_H_
