#ifndef FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_
#define FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "libsite/siterecord.h"

namespace fireflytrestle {

/// \brief Interface for decoding the items of a store.
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  /// Decodes the item with key \p key and value \p value. Fails with
  /// ErrorCode::kInvalidConfiguration and a Fault if the item is malformed; a
  /// std::vector<Fault> may list all faults.
  virtual boost::leaf::result<SiteRecord> Decode(
      const std::string& key,
      std::string_view value) const = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_RECORDDECODER_H_
