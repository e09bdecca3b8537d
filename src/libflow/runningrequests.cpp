#include "libflow/runningrequests.h"

#include <algorithm>

#include "libflow/workestimator.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

/// A request that takes longer than this multiple of its expected work hangs.
/// Users of the balancer describe a tail of seven times the mean, which is no
/// fault.
constexpr int kHangFactor = 8;
constexpr milliseconds kMinHangTime{50};
/// The same for a request that counts as failed, which also has to be late for
/// its caller.
constexpr int kFailureFactor = 10;
constexpr milliseconds kMinFailureTime{200};
/// Calls are due every 50 ms. After a longer gap the agent may not have read
/// the answers yet.
constexpr milliseconds kMaxCheckInterval{120};

}  // namespace

std::uint64_t RunningRequests::Add(const FlowClass& flow_class, TimePoint now) {
  // Requests from before the slots were known may still wait.
  const bool waits_none = m_started == m_requests.size();
  m_requests.push_back(
      {++m_last_number, flow_class, std::nullopt, false, false});
  StartNext(now);
  Request& request = m_requests.back();
  request.counts_as_failure = waits_none && request.started.has_value();
  return request.number;
}

std::optional<Duration> RunningRequests::Remove(std::uint64_t number,
                                                TimePoint now) {
  const auto position =
      std::find_if(m_requests.begin(), m_requests.end(),
                   [&](const Request& each) { return each.number == number; });
  if (position == m_requests.end()) {
    return std::nullopt;
  }
  const std::optional<TimePoint> started = position->started;
  const bool is_distorted = position->is_distorted;
  m_requests.erase(position);
  if (!started) {
    return std::nullopt;
  }
  --m_started;
  StartNext(now);
  return is_distorted ? std::nullopt : std::optional(now - *started);
}

void RunningRequests::StartNext(TimePoint now) {
  for (Request& each : m_requests) {
    if (m_started >= m_slots) {
      return;
    }
    if (!each.started) {
      each.started = now;
      ++m_started;
    }
  }
}

Duration RunningRequests::Wait(const WorkEstimator& estimator,
                               std::size_t queued,
                               Duration queued_work,
                               TimePoint now) const {
  Duration hanging{};
  Duration left = queued_work;
  for (const Request& each : m_requests) {
    const Duration expected = estimator.Expected(each.flow_class);
    const Duration taken = each.started ? now - *each.started : Duration{};
    if (taken >= std::max<Duration>(expected * kHangFactor, kMinHangTime)) {
      hanging += taken;
    } else {
      left += std::max(expected - taken, expected / 2);
    }
  }
  const bool has_free_slot = m_requests.size() + queued < m_slots;
  return (hanging + (has_free_slot ? Duration{} : left)) /
         std::max<std::int64_t>(m_slots, 1);
}

int RunningRequests::TakeUnanswered(const WorkEstimator& estimator,
                                    TimePoint now) {
  const bool is_regular = now - m_last_check <= kMaxCheckInterval;
  m_last_check = now;
  int count = 0;
  for (Request& each : m_requests) {
    if (!is_regular || !each.counts_as_failure ||
        !estimator.Knows(each.flow_class)) {
      continue;
    }
    const Duration limit = std::max<Duration>(
        {estimator.Expected(each.flow_class) * kFailureFactor,
         each.flow_class.latency_objective, kMinFailureTime});
    if (now - *each.started >= limit) {
      each.counts_as_failure = false;
      ++count;
    }
  }
  return count;
}

void RunningRequests::OnPause(TimePoint now) {
  for (Request& each : m_requests) {
    each.counts_as_failure = false;
    each.is_distorted = true;
    if (each.started) {
      each.started = now;
    }
  }
}

}  // namespace fireflytrestle
