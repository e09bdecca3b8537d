#ifndef FIREFLYTRESTLE_LIBCTL_TEXTFILE_H_
#define FIREFLYTRESTLE_LIBCTL_TEXTFILE_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>

#include "libbase/fault.h"

namespace fireflytrestle {

/// Returns the content of a regular file. Fails with ErrorCode::kUnreadableFile
/// or kTooLarge (above one megabyte) and a std::vector<Fault>.
boost::leaf::result<std::string> ReadTextFile(const std::string& path);

/// Writes \p text to a temporary file in the same folder and renames it to
/// \p path, so that a failure leaves the old content in place. Returns the
/// fault, or empty on success.
std::optional<Fault> ReplaceTextFile(const std::string& path,
                                     const std::string& text);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCTL_TEXTFILE_H_
