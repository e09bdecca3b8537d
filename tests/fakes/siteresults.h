#ifndef FIREFLYTRESTLE_TESTS_FAKES_SITERESULTS_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SITERESULTS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace fireflytrestle {

/// \brief Counts and times that callers and upstreams recorded during one run.
struct SiteResults {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t unanswered_documents = 0;
  /// Orders with unknown outcome whose flow was in an availability zone that
  /// was taken out.
  std::uint64_t lost_with_zone = 0;
  std::uint64_t broken_flows = 0;
  std::uint64_t feed_events = 0;
  std::uint64_t handovers = 0;
  std::uint64_t misrouted = 0;
  std::uint64_t wrong_answers = 0;
  std::uint64_t cold_overloads = 0;
  std::uint64_t cut_requests = 0;
  std::optional<double> imbalance;
  std::optional<std::int64_t> zone_quiet_ms;
  std::optional<std::int64_t> config_spread_ms;

  /// Number of times each non-idempotent order ran at any upstream.
  std::map<std::string, int> order_runs;
  /// Attempts, as "order/attempt", that ran at an upstream.
  std::set<std::string> attempts_run;
  /// Attempts that were refused, which tells the caller that they did not run.
  std::set<std::string> attempts_refused;

  std::uint64_t CountDoubledOrders() const;
  std::uint64_t CountFalseRefusals() const;

  /// Returns whether the counts satisfy every invariant. Outcomes that are
  /// unknown because of a crash are not a violation.
  bool SatisfiesInvariants(bool flows_may_break) const;

  /// Returns whether the times that were measured are within their limits.
  bool MeetsTimeLimits() const;

  nlohmann::ordered_json ToJson(const std::string& site,
                                const std::string& scenario) const;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SITERESULTS_H_
