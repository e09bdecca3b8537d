#include "libflow/pendingrequestqueue.h"

#include <algorithm>

namespace fireflytrestle {

namespace {

/// Requests that are sent to the upstream beyond its slots, so that a slot that
/// becomes free is used before the agent sees the answer.
constexpr std::uint32_t kMaxQueuedAtUpstream = 3;
/// Time for which these requests occupy the slots at least. They cannot be
/// overtaken any more, so that fewer are sent if they take long.
constexpr std::chrono::milliseconds kAnswerDelay{30};
/// Maximum share of a caller's time-out that a request may wait.
constexpr double kMaxWaitShare = 0.6;

}  // namespace

bool PendingRequestQueue::MustWait(std::size_t running) const {
  return m_slots > 0 && running >= m_slots + QueuedAtUpstream();
}

std::uint32_t PendingRequestQueue::QueuedAtUpstream() const {
  const Duration work = std::max(m_work.Average(), Duration(1));
  const auto needed = (kAnswerDelay * m_slots + work - Duration(1)) / work;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(needed, kMaxQueuedAtUpstream));
}

bool PendingRequestQueue::CanMeetDeadline(const FlowClass& flow_class,
                                          std::size_t running,
                                          TimePoint now,
                                          Duration age) const {
  return MayWait(flow_class) &&
         ShedPolicy::HasRoomFor({flow_class, age, ExpectedWork(flow_class)},
                                DescribeAll(now), CapacityBeside(running),
                                kMaxWaitShare);
}

Duration PendingRequestQueue::ExpectedWork(const FlowClass& flow_class) const {
  const Duration work = m_work.Expected(flow_class);
  return flow_class.timeout.count() > 0
             ? std::min<Duration>(work, flow_class.timeout / 2)
             : work;
}

ShedPolicy::Request PendingRequestQueue::Describe(const Request& request,
                                                  TimePoint now) const {
  return {request.flow_class, now - request.arrived,
          ExpectedWork(request.flow_class)};
}

std::vector<ShedPolicy::Request> PendingRequestQueue::DescribeAll(
    TimePoint now) const {
  std::vector<ShedPolicy::Request> all;
  all.reserve(m_waiting.size());
  for (const Request& request : m_waiting) {
    all.push_back(Describe(request, now));
  }
  return all;
}

ShedPolicy::Capacity PendingRequestQueue::CapacityBeside(
    std::size_t running) const {
  // A request that finds all slots occupied begins when as many others have
  // ended as are at the upstream beyond the other slots.
  const std::uint32_t slots = std::max(m_slots, 1U);
  const std::size_t ahead = running < slots ? 0 : running + 1 - slots;
  return {slots,
          m_work.Average() * static_cast<int>(ahead) / static_cast<int>(slots)};
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

std::optional<PendingRequestQueue::Request> PendingRequestQueue::TakeNext(
    std::size_t running,
    TimePoint now) {
  if (m_waiting.empty() || MustWait(running)) {
    return std::nullopt;
  }
  const auto choice =
      m_policy.Release(DescribeAll(now), CapacityBeside(running));
  if (!choice) {
    return std::nullopt;
  }
  const auto next =
      std::next(m_waiting.begin(), static_cast<std::ptrdiff_t>(choice->index));
  std::optional<Request> request = std::move(*next);
  request->in_time = choice->in_time;
  m_waiting.erase(next);
  return request;
}

std::vector<PendingRequestQueue::Request> PendingRequestQueue::TakeExpired(
    TimePoint now) {
  std::vector<Request> expired;
  for (auto each = m_waiting.begin(); each != m_waiting.end();) {
    if (ShedPolicy::CanMeetTimeout(Describe(*each, now))) {
      ++each;
      continue;
    }
    expired.push_back(std::move(*each));
    each = m_waiting.erase(each);
  }
  return expired;
}

std::array<std::uint32_t, kMaxPriority + 1>
PendingRequestQueue::CountByPriority() const {
  std::array<std::uint32_t, kMaxPriority + 1> counts{};
  for (const Request& request : m_waiting) {
    ++counts.at(std::min(request.flow_class.priority, kMaxPriority));
  }
  return counts;
}

}  // namespace fireflytrestle
