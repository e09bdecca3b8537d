#ifndef FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCODEC_H_
#define FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCODEC_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/fault.h"
#include "libconfig/configuration.h"
#include "libconfig/versioneddocument.h"

namespace fireflytrestle {

/// Size limit of the configuration service for one value, one megabyte. This is
/// the smaller of the two common meanings, so that a document fits under
/// either.
inline constexpr std::size_t kMaximumDocumentBytes = 1'000'000;

/// Longest time from a cold start to full load.
inline constexpr std::chrono::milliseconds kMaximumWarmup =
    std::chrono::hours(1);

/// Description for operators of the names that IsUsableName() accepts.
inline constexpr const char* kNameRule =
    "use 1 to 64 letters, digits, spaces, dashes, underscores and dots";

/// Returns whether \p name is allowed as the name of a site, region, zone,
/// service or request type.
bool IsUsableName(std::string_view name);

/// Returns a document with one entry for each zone ("zone/3"), service
/// ("service/7") and target ("target/12"), and "next-ids" if they are recorded.
VersionedDocument ToDocument(const Configuration& configuration);

/// Decodes and checks all entries. Zones, services and targets of the result
/// are in order of their ids. Fails with ErrorCode::kInvalidConfiguration and a
/// std::vector<Fault>.
boost::leaf::result<Configuration> FromDocument(
    const VersionedDocument& document);

/// Returns all faults of a configuration: duplicate ids or names, unknown zones
/// or services, limits of zero, a target address used twice. Empty if it is
/// valid.
std::vector<Fault> CheckConfiguration(const Configuration& configuration);

/// Returns the published form of \p document: a JSON object with "revision",
/// "digest" and "entries".
std::string WriteDocument(const VersionedDocument& document);

/// Returns whether \p text is meant as the published form of a document: a JSON
/// object with "digest" or "entries". It may still be invalid.
bool IsDocument(std::string_view text);

/// Decodes the published form. Fails with ErrorCode::kInvalidConfiguration,
/// kTooLarge (above one megabyte) or kDigestMismatch, and a std::vector<Fault>.
boost::leaf::result<VersionedDocument> ReadDocument(std::string_view text);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONCODEC_H_
