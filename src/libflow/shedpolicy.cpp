#include "libflow/shedpolicy.h"

#include <algorithm>
#include <tuple>

namespace fireflytrestle {

namespace {

using Request = ShedPolicy::Request;
using Capacity = ShedPolicy::Capacity;
using Choice = ShedPolicy::Choice;

enum class Goal { kObjective, kTimeout };
enum class Ties { kNewestFirst, kInOrder };

/// A request that can be served, with its times from now.
struct Entry {
  std::size_t index = 0;
  Duration deadline{};
  /// Expected time of the answer, if the requests are served by deadline.
  Duration finish{};
};

/// Entries by deadline; all of them finish before it.
using Schedule = std::vector<Entry>;

Duration DeadlineOf(const Request& request, Goal goal, double time_share) {
  const FlowClass& flow_class = request.flow_class;
  const bool has_objective = flow_class.latency_objective.count() > 0;
  return goal == Goal::kObjective && has_objective
             ? flow_class.latency_objective - request.age
             : std::chrono::duration_cast<Duration>(
                   (flow_class.timeout - request.age) * time_share);
}

/// Whether the request can be answered before its caller's time-out.
bool IsInTimeout(const Request& request, const Capacity& capacity) {
  return capacity.delay + request.age + request.work <
         request.flow_class.timeout;
}

/// Returns the cost of not serving a request for each unit of its work.
double CostOf(const Request& request) {
  const int levels = std::max(0, kMaxPriority - request.flow_class.priority);
  const Duration work = std::max(request.work, Duration(1));
  return static_cast<double>(1U << static_cast<unsigned>(levels)) /
         static_cast<double>(work.count());
}

/// Adds the entry if it and all others still finish before their deadlines.
/// Work that goes before an entry delays it by that work over the slots. Of
/// entries with the same deadline the longest goes first, so that its own work
/// is not added to that of the others.
void AddIfFeasible(Entry entry,
                   std::span<const Request> requests,
                   const Capacity& capacity,
                   Schedule* schedule) {
  const auto slots = static_cast<int>(capacity.slots);
  const Duration work = requests[entry.index].work;
  const auto position = std::upper_bound(
      schedule->begin(), schedule->end(), entry,
      [&](const Entry& a, const Entry& b) {
        return std::tuple(a.deadline, -requests[a.index].work, a.index) <
               std::tuple(b.deadline, -requests[b.index].work, b.index);
      });
  entry.finish = capacity.delay + work;
  if (position != schedule->begin()) {
    const Entry& before = *(position - 1);
    const Duration own = requests[before.index].work;
    entry.finish = before.finish - own + own / slots + work;
  }
  const Duration added = work / slots;
  const bool feasible =
      entry.finish <= entry.deadline &&
      std::all_of(position, schedule->end(), [&](const Entry& later) {
        return later.finish + added <= later.deadline;
      });
  if (!feasible) {
    return;
  }
  std::for_each(position, schedule->end(),
                [&](Entry& later) { later.finish += added; });
  schedule->insert(position, entry);
}

/// Returns the dearest requests that can all be answered before their
/// deadlines. A request is left out only if it does not fit beside those that
/// are at least as dear.
Schedule MakeSchedule(std::span<const Request> requests,
                      const Capacity& capacity,
                      Goal goal,
                      Ties ties,
                      double time_share = 1.0) {
  struct Ranked {
    std::size_t index;
    double cost;
    Duration deadline;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(requests.size());
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Duration deadline = DeadlineOf(requests[i], goal, time_share);
    if (capacity.delay + requests[i].work <= deadline) {
      ranked.push_back({i, CostOf(requests[i]), deadline});
    }
  }
  std::sort(
      ranked.begin(), ranked.end(), [&](const Ranked& a, const Ranked& b) {
        const Request& first = requests[a.index];
        const Request& second = requests[b.index];
        if (a.cost != b.cost) {
          return a.cost > b.cost;
        }
        if (first.flow_class.idempotent != second.flow_class.idempotent) {
          return second.flow_class.idempotent;
        }
        if (ties == Ties::kInOrder) {
          return a.index < b.index;
        }
        // Of requests that arrived at the same moment, the first pushed
        // is older.
        return std::tuple(first.age, b.index) < std::tuple(second.age, a.index);
      });
  Schedule schedule;
  for (const Ranked& each : ranked) {
    AddIfFeasible({each.index, each.deadline, {}}, requests, capacity,
                  &schedule);
  }
  return schedule;
}

/// Returns the classes of which some requests could meet their deadlines alone
/// and are not in the schedule.
std::vector<FlowClass> OverloadedClasses(const Schedule& schedule,
                                         std::span<const Request> requests,
                                         Goal goal) {
  std::vector<bool> scheduled(requests.size(), false);
  for (const Entry& entry : schedule) {
    scheduled[entry.index] = true;
  }
  std::vector<FlowClass> overloaded;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    if (!scheduled[i] && request.work <= DeadlineOf(request, goal, 1.0) &&
        std::ranges::find(overloaded, request.flow_class) == overloaded.end()) {
      overloaded.push_back(request.flow_class);
    }
  }
  return overloaded;
}

/// Returns the request of a schedule that is served first: that of the highest
/// priority, non-idempotent before idempotent, that can go first without making
/// another one miss its deadline. This leaves the dearest the most time if the
/// work takes longer than expected. The oldest requests of an overloaded class
/// that are still in the schedule are about to miss their deadlines, too: its
/// newest one goes in their place, and they hold up nothing that is as dear.
std::size_t FirstOf(const Schedule& schedule,
                    std::span<const Request> requests,
                    const Capacity& capacity,
                    Goal goal) {
  const std::vector<FlowClass> overloaded =
      OverloadedClasses(schedule, requests, goal);
  const auto is_overloaded = [&](const FlowClass& flow_class) {
    return std::ranges::find(overloaded, flow_class) != overloaded.end();
  };
  const auto rank = [&](const Entry& entry) {
    const FlowClass& flow_class = requests[entry.index].flow_class;
    return std::tuple(flow_class.priority, flow_class.idempotent);
  };
  const auto can_go_before = [&](const Entry& entry, const Entry& other) {
    const Request& request = requests[entry.index];
    const Request& overtaken = requests[other.index];
    return other.finish + request.work / static_cast<int>(capacity.slots) <=
               other.deadline ||
           (is_overloaded(overtaken.flow_class) &&
            CostOf(overtaken) <= CostOf(request));
  };
  std::size_t first = 0;
  for (std::size_t i = 1; i < schedule.size(); ++i) {
    if (rank(schedule[i]) < rank(schedule[first]) &&
        std::all_of(schedule.begin(),
                    schedule.begin() + static_cast<std::ptrdiff_t>(i),
                    [&](const Entry& other) {
                      return can_go_before(schedule[i], other);
                    })) {
      first = i;
    }
  }
  std::size_t index = schedule[first].index;
  const FlowClass& flow_class = requests[index].flow_class;
  if (!is_overloaded(flow_class)) {
    return index;
  }
  for (const Entry& entry : schedule) {
    if (requests[entry.index].flow_class == flow_class &&
        requests[entry.index].age <= requests[index].age) {
      index = entry.index;
    }
  }
  return index;
}

}  // namespace

std::optional<Choice> ShedPolicy::ChooseNext(std::span<const Request> requests,
                                             const Capacity& capacity) {
  if (requests.empty()) {
    return std::nullopt;
  }
  for (const Goal goal : {Goal::kObjective, Goal::kTimeout}) {
    const Schedule schedule =
        MakeSchedule(requests, capacity, goal, Ties::kNewestFirst);
    if (!schedule.empty()) {
      return Choice{FirstOf(schedule, requests, capacity, goal),
                    goal == Goal::kObjective, false};
    }
  }
  // The estimates may be too long: a free slot is used in any case.
  const auto newest = std::min_element(
      requests.begin(), requests.end(),
      [](const Request& a, const Request& b) { return a.age < b.age; });
  return Choice{static_cast<std::size_t>(newest - requests.begin()), false,
                false};
}

std::optional<Choice> ShedPolicy::Release(std::span<const Request> requests,
                                          const Capacity& capacity) {
  std::optional<Choice> choice = ChooseNext(requests, capacity);
  if (!choice) {
    return choice;
  }
  const auto starving = std::max_element(
      m_passed_over.begin(), m_passed_over.end(),
      [](const auto& a, const auto& b) { return a.releases < b.releases; });
  if (starving != m_passed_over.end() && starving->releases >= kMaxPassedOver) {
    std::vector<Request> of_class;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      if (requests[i].flow_class == starving->flow_class &&
          IsInTimeout(requests[i], capacity)) {
        of_class.push_back(requests[i]);
        indexes.push_back(i);
      }
    }
    if (const auto next = ChooseNext(of_class, capacity)) {
      const bool differs = indexes[next->index] != choice->index;
      choice = Choice{indexes[next->index], next->in_time, differs};
    }
  }
  CountRelease(requests[choice->index].flow_class, requests, capacity);
  return choice;
}

void ShedPolicy::CountRelease(const FlowClass& released,
                              std::span<const Request> requests,
                              const Capacity& capacity) {
  std::vector<PassedOver> passed_over;
  for (const Request& request : requests) {
    const FlowClass& flow_class = request.flow_class;
    const auto is_same = [&](const PassedOver& each) {
      return each.flow_class == flow_class;
    };
    if (flow_class == released || !IsInTimeout(request, capacity) ||
        std::any_of(passed_over.begin(), passed_over.end(), is_same)) {
      continue;
    }
    const auto known =
        std::find_if(m_passed_over.begin(), m_passed_over.end(), is_same);
    passed_over.push_back(
        {flow_class, known == m_passed_over.end() ? 1 : known->releases + 1});
  }
  m_passed_over = std::move(passed_over);
}

bool ShedPolicy::HasRoomFor(const Request& request,
                            std::span<const Request> queued,
                            const Capacity& capacity,
                            double time_share) {
  if (capacity.delay + request.work >
      DeadlineOf(request, Goal::kTimeout, time_share)) {
    return false;
  }
  std::vector<Request> all(queued.begin(), queued.end());
  all.push_back(request);
  const Schedule schedule =
      MakeSchedule(all, capacity, Goal::kTimeout, Ties::kInOrder, time_share);
  return std::any_of(schedule.begin(), schedule.end(), [&](const Entry& entry) {
    return entry.index == queued.size();
  });
}

}  // namespace fireflytrestle
