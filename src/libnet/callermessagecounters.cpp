#include "libnet/callermessagecounters.h"

#include "libnet/metricswriter.h"
#include "libwire/callermessagecodec.h"

namespace fireflytrestle {

namespace {

// Values of the label "kind", in the order of the alternatives of
// CallerMessage.
constexpr std::array<const char*, std::variant_size_v<CallerMessage>>
    kKindNames = {
        "open",  "request",  "ack",          "cancel",  "ping",
        "close", "accepted", "open_refused", "refused", "outcome_unknown",
        "part",  "pong",     "handover",     "reset"};

const char* ReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kCold:
      return "cold";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kZoneOut:
      return "zone_out";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kCancelled:
      return "cancelled";
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kRetryBudget:
      return "retry_budget";
    case RefusalReason::kUpstreamUnavailable:
      return "upstream_unavailable";
    case RefusalReason::kInvalid:
      return "invalid";
  }
  return "unknown";
}

}  // namespace

void CallerMessageCounters::Count(std::span<const std::uint8_t> payload) {
  CallerMessage message;
  if (DecodeCallerMessage(payload, &message) != WireError::kNone) {
    return;
  }
  ++m_kinds[message.index()];
  if (const auto* open_refused = std::get_if<OpenRefusedMessage>(&message)) {
    ++m_open_refused[static_cast<std::size_t>(open_refused->reason)];
  } else if (const auto* refused = std::get_if<RefusedMessage>(&message)) {
    ++m_refused[static_cast<std::size_t>(refused->reason)];
  }
}

void CallerMessageCounters::Add(const CallerMessageCounters& other) {
  for (std::size_t i = 0; i < kKindCount; ++i) {
    m_kinds[i] += other.m_kinds[i];
  }
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    m_open_refused[i] += other.m_open_refused[i];
    m_refused[i] += other.m_refused[i];
  }
}

void CallerMessageCounters::Write(const std::string& direction,
                                  const std::string& zone,
                                  MetricsWriter* metrics) const {
  for (std::size_t i = 0; i < kKindCount; ++i) {
    if (m_kinds[i] > 0) {
      metrics->Counter(
          "caller_messages_total",
          "Messages of the callers' protocol by availability "
          "zone of the target",
          static_cast<double>(m_kinds[i]),
          {{"direction", direction}, {"zone", zone}, {"kind", kKindNames[i]}});
    }
  }
  WriteReasons(m_open_refused, zone, "open", metrics);
  WriteReasons(m_refused, zone, "request", metrics);
}

void CallerMessageCounters::WriteReasons(const Reasons& reasons,
                                         const std::string& zone,
                                         const char* scope,
                                         MetricsWriter* metrics) {
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    if (reasons[i] > 0) {
      metrics->Counter("refusals_total", "Refusals sent to callers by reason",
                       static_cast<double>(reasons[i]),
                       {{"scope", scope},
                        {"zone", zone},
                        {"reason", ReasonName(static_cast<RefusalReason>(i))}});
    }
  }
}

}  // namespace fireflytrestle
