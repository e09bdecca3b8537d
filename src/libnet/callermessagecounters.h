#ifndef FIREFLYTRESTLE_LIBNET_CALLERMESSAGECOUNTERS_H_
#define FIREFLYTRESTLE_LIBNET_CALLERMESSAGECOUNTERS_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "libwire/callermessage.h"

namespace fireflytrestle {

class MetricsWriter;

/// \brief Counts messages of the callers' protocol by kind, and refusals by
/// reason.
class CallerMessageCounters {
 public:
  /// Counts the message in \p payload; ignores a payload that cannot be
  /// decoded. Does not allocate.
  void Count(std::span<const std::uint8_t> payload);

  /// Adds the counts of \p other, for example of another thread.
  void Add(const CallerMessageCounters& other);

  /// Writes caller_messages_total and refusals_total with the labels
  /// "direction" and "zone".
  void Write(const std::string& direction,
             const std::string& zone,
             MetricsWriter* metrics) const;

  std::uint64_t refused(RefusalReason reason) const {
    return m_refused[static_cast<std::size_t>(reason)];
  }

 private:
  static constexpr std::size_t kKindCount = std::variant_size_v<CallerMessage>;
  /// RefusalReason values start at 1, so index 0 is unused.
  static constexpr std::size_t kReasonCount =
      static_cast<std::size_t>(RefusalReason::kInvalid) + 1;
  using Reasons = std::array<std::uint64_t, kReasonCount>;

  static void WriteReasons(const Reasons& reasons,
                           const std::string& zone,
                           const char* scope,
                           MetricsWriter* metrics);

  std::array<std::uint64_t, kKindCount> m_kinds{};
  Reasons m_open_refused{};
  Reasons m_refused{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_CALLERMESSAGECOUNTERS_H_
