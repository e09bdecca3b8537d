#ifndef FIREFLYTRESTLE_LIBBASE_ERRORCODE_H_
#define FIREFLYTRESTLE_LIBBASE_ERRORCODE_H_

namespace fireflytrestle {

/// \brief Kinds of error that boost::leaf::result values carry, together with a
/// Fault that contains the details.
enum class ErrorCode {
  kInvalidSetting,
  kInvalidConfiguration,
  kNotNewer,
  kDigestMismatch,
  kUnreadableFile,
  kTooLarge,
  kNetwork,
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_ERRORCODE_H_
