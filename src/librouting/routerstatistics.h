#ifndef FIREFLYTRESTLE_LIBROUTING_ROUTERSTATISTICS_H_
#define FIREFLYTRESTLE_LIBROUTING_ROUTERSTATISTICS_H_

#include <cstdint>
#include <vector>

#include "libbase/ids.h"
#include "librouting/targetrecord.h"

namespace fireflytrestle {

/// \brief Datagrams handled by one router since its start. Drops are counted
/// separately, see PacketRouter::drops().
struct RouterStatistics {
  /// Packets of established flows forwarded to an agent.
  std::uint64_t forwarded = 0;
  /// First attempts of OPENs forwarded to an agent, including OPENs that
  /// callers retransmit.
  std::uint64_t opens_forwarded = 0;
  /// Bounced OPENs forwarded to another target.
  std::uint64_t opens_retried = 0;
  /// Copies of OPENs sent as probes to targets that do not answer.
  std::uint64_t probes = 0;
  /// Datagrams from agents returned to callers.
  std::uint64_t returned = 0;
  /// BOUNCEs received.
  std::uint64_t bounced = 0;
  /// OPENs answered with OPEN_REFUSED by this router.
  std::uint64_t opens_refused = 0;
  /// The part of \ref opens_refused that was refused because the retry budget
  /// was exhausted.
  std::uint64_t retry_budget_exhausted = 0;
};

/// \brief State of one target for the state dump and the metrics.
struct TargetSnapshot {
  TargetId target{};
  ServiceId service{};
  ZoneId zone{};
  TargetState state = TargetState::kWarm;
  Eligibility eligibility = Eligibility::kReady;
  bool suspect = false;
  /// Whether the reported load is recent enough to compare targets by it.
  bool load_fresh = false;
  std::uint32_t open_flows = 0;
  /// OPENs that the target has not answered yet.
  std::uint32_t opens_under_way = 0;
};

/// \brief State of one service for the state dump and the metrics.
struct ServiceSnapshot {
  ServiceId service{};
  std::uint32_t candidates = 0;
  /// Retries that the retry budget would currently allow.
  double retries_available = 0.0;
};

struct RouterSnapshot {
  std::vector<TargetSnapshot> targets;
  std::vector<ServiceSnapshot> services;
};

/// Returns the label in metrics and the state dump, such as "held_off".
const char* ToString(Eligibility eligibility);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_ROUTERSTATISTICS_H_
