#ifndef FIREFLYTRESTLE_LIBBASE_LOGFIELD_H_
#define FIREFLYTRESTLE_LIBBASE_LOGFIELD_H_

#include <cstdint>
#include <string>
#include <variant>

namespace fireflytrestle {

/// \brief Names of the additional fields of log lines. The set is fixed so that
/// log collectors can index the fields.
enum class LogKey {
  kDocument,
  kError,
  kFlow,
  kPeer,
  kReason,
  kRemedy,
  kReportAgeMs,
  kRequestedMs,
  kRevision,
  kRunning,
  kService,
  kSource,
  kState,
  kVersion,
  kWaitedMs,
};

const char* ToString(LogKey key);

struct LogField {
  LogKey key;
  std::variant<std::string, std::uint64_t> value;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_LOGFIELD_H_
