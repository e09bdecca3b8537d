#include "fakes/siteresults.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

constexpr std::int64_t kZoneQuietLimitMs = 3000;
constexpr std::int64_t kConfigSpreadLimitMs = 4000;

template <typename T>
nlohmann::ordered_json OrNull(const std::optional<T>& value) {
  return value ? nlohmann::ordered_json(*value)
               : nlohmann::ordered_json(nullptr);
}

}  // namespace

std::uint64_t SiteResults::CountDoubledOrders() const {
  return static_cast<std::uint64_t>(
      std::count_if(order_runs.begin(), order_runs.end(),
                    [](const auto& run) { return run.second > 1; }));
}

std::uint64_t SiteResults::CountFalseRefusals() const {
  return static_cast<std::uint64_t>(std::count_if(
      attempts_refused.begin(), attempts_refused.end(),
      [this](const auto& key) { return attempts_run.contains(key); }));
}

bool SiteResults::SatisfiesInvariants(bool flows_may_break) const {
  return (flows_may_break || broken_flows == 0) && misrouted == 0 &&
         wrong_answers == 0 && CountDoubledOrders() == 0 &&
         CountFalseRefusals() == 0 && cold_overloads == 0 &&
         cut_requests == 0 && served > 0;
}

bool SiteResults::MeetsTimeLimits() const {
  return zone_quiet_ms.value_or(0) <= kZoneQuietLimitMs &&
         config_spread_ms.value_or(0) <= kConfigSpreadLimitMs;
}

nlohmann::ordered_json SiteResults::ToJson(const std::string& site,
                                           const std::string& scenario) const {
  return {{"site", site},
          {"scenario", scenario},
          {"requests", requests},
          {"served", served},
          {"refused_not_run", refused_not_run},
          {"outcome_unknown", outcome_unknown},
          {"broken_flows", broken_flows},
          {"misrouted", misrouted},
          {"wrong_answers", wrong_answers},
          {"doubled_orders", CountDoubledOrders()},
          {"false_refusals", CountFalseRefusals()},
          {"cold_overloads", cold_overloads},
          {"cut_requests", cut_requests},
          {"imbalance", OrNull(imbalance)},
          {"zone_quiet_ms", OrNull(zone_quiet_ms)},
          {"config_spread_ms", OrNull(config_spread_ms)},
          {"lost_with_zone", lost_with_zone},
          {"unanswered_documents", unanswered_documents},
          {"feed_events", feed_events},
          {"handovers", handovers}};
}

}  // namespace fireflytrestle
