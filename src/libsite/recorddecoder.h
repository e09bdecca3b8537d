#ifndef FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_
#define FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "libsite/siterecord.h"

namespace fireflytrestle {

/// \brief Port to the format of a store's items.
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  /// Reads the item \p key with the bytes \p value. Fails with
  /// ErrorCode::kInvalidConfiguration and a Fault for an item that cannot be
  /// read.
  virtual boost::leaf::result<SiteRecord> Decode(
      const std::string& key,
      std::string_view value) const = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_
