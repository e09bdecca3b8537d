#include "libflow/pendingrequestqueue.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Requests that are sent to the upstream beyond its slots, so that a slot that
/// becomes free is used before the agent sees the answer.
constexpr std::uint32_t kMaxQueuedAtUpstream = 3;
/// Maximum share of a caller's time-out that a request may wait.
constexpr double kMaxWaitShare = 0.6;
enum Priority { kInTimeNonIdempotent, kInTimeIdempotent, kLate };

}  // namespace

bool PendingRequestQueue::MustWait(std::size_t running) const {
  return m_slots > 0 && running >= m_slots + kMaxQueuedAtUpstream;
}

bool PendingRequestQueue::CanMeetDeadline(const FlowClass& flow_class) const {
  if (m_slots == 0 || flow_class.timeout.count() == 0) {
    return false;
  }
  return EstimateWait(m_waiting.size()) <
         std::chrono::duration_cast<Duration>(flow_class.timeout *
                                              kMaxWaitShare);
}

Duration PendingRequestQueue::EstimateWait(std::size_t ahead) const {
  return m_work.Average() * static_cast<int>(ahead + m_slots) /
         static_cast<int>(std::max(m_slots, 1U));
}

Duration PendingRequestQueue::WaitingWork() const {
  Duration work{};
  for (const Request& each : m_waiting) {
    work += m_work.Expected(each.flow_class);
  }
  return work;
}

PendingRequestQueue::Request* PendingRequestQueue::Find(
    const FlowTuple& tuple) {
  const auto position =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const Request& each) { return each.tuple == tuple; });
  return position == m_waiting.end() ? nullptr : &*position;
}

void PendingRequestQueue::Erase(const FlowTuple& tuple) {
  m_waiting.remove_if([&](const Request& each) { return each.tuple == tuple; });
}

std::pair<int, Duration> PendingRequestQueue::Rank(const Request& request,
                                                   TimePoint now) const {
  const Duration age = now - request.arrived;
  const FlowClass& flow_class = request.flow_class;
  if (age + m_work.Average() >= flow_class.latency_objective) {
    return {kLate, -age};
  }
  // Requests are released in order of arrival while all can be answered in
  // time. Once some cannot, that order would make every one late.
  const bool all_in_time =
      EstimateWait(m_waiting.size()) < flow_class.latency_objective;
  return {flow_class.idempotent ? kInTimeIdempotent : kInTimeNonIdempotent,
          all_in_time ? -age : age};
}

std::optional<PendingRequestQueue::Request> PendingRequestQueue::TakeNext(
    std::size_t running,
    TimePoint now) {
  if (m_waiting.empty() || MustWait(running)) {
    return std::nullopt;
  }
  const auto best = std::min_element(m_waiting.begin(), m_waiting.end(),
                                     [&](const Request& a, const Request& b) {
                                       return Rank(a, now) < Rank(b, now);
                                     });
  std::optional<Request> request = std::move(*best);
  m_waiting.erase(best);
  return request;
}

std::vector<PendingRequestQueue::Request> PendingRequestQueue::TakeExpired(
    TimePoint now) {
  std::vector<Request> expired;
  for (auto each = m_waiting.begin(); each != m_waiting.end();) {
    if (now - each->arrived + m_work.Average() < each->flow_class.timeout) {
      ++each;
      continue;
    }
    expired.push_back(std::move(*each));
    each = m_waiting.erase(each);
  }
  return expired;
}

}  // namespace fireflytrestle
