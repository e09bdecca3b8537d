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
/// The document never goes back: a state that is not newer by IsOlder() is
/// refused, and so is one with a wrong digest or one that the validator does
/// not accept.
class DocumentStore {
 public:
  enum class Outcome {
    kInstalled,
    /// Equal to or older than the document in force.
    kNotNewer,
    /// Wrong digest, or refused by the validator.
    kInvalid,
    /// The delta starts at another state than the one in force.
    kBaseMismatch,
  };

  /// Returns whether a document that is newer and has its stated digest may be
  /// put in force.
  using Validator = std::function<bool(const VersionedDocument&)>;

  /// Deltas kept: more than the changes of an hour at the design size (46 of
  /// the configuration, about 170 of the instance list), so a process that was
  /// cut off for an hour needs no whole document.
  static constexpr std::size_t kMaxHistory = 512;

  explicit DocumentStore(Validator validator,
                         std::size_t history = kMaxHistory);

  /// Puts \p document in force if it is newer and valid.
  Outcome Install(VersionedDocument document);

  /// Applies \p delta to the document in force, if it starts there.
  Outcome Install(const DocumentDelta& delta);

  /// Revision 0 without entries before the first installation.
  const VersionedDocument& document() const { return m_document; }

  /// The last step, from the previous document to the one in force; null before
  /// the first installation.
  const DocumentDelta* last_delta() const;

  /// Returns the change from the state that \p revision and \p digest name to
  /// the document in force; empty if the history does not reach back to it.
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
