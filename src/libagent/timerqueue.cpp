#include "libagent/timerqueue.h"

namespace fireflytrestle {

void TimerQueue::Set(std::uint32_t index, TimePoint due) {
  if (index >= m_positions.size()) {
    m_positions.resize(index + 1, kNone);
  }
  if (m_positions[index] == kNone) {
    m_heap.emplace_back();
    Place(m_heap.size() - 1, {due, index});
  } else {
    m_heap[m_positions[index]].due = due;
  }
  MoveUp(m_positions[index]);
  MoveDown(m_positions[index]);
}

void TimerQueue::Remove(std::uint32_t index) {
  if (index >= m_positions.size() || m_positions[index] == kNone) {
    return;
  }
  const std::size_t position = m_positions[index];
  m_positions[index] = kNone;
  const Entry last = m_heap.back();
  m_heap.pop_back();
  if (position == m_heap.size()) {
    return;
  }
  Place(position, last);
  MoveUp(position);
  MoveDown(m_positions[last.index]);
}

TimePoint TimerQueue::DueOf(std::uint32_t index) const {
  if (index >= m_positions.size() || m_positions[index] == kNone) {
    return TimePoint::max();
  }
  return m_heap[m_positions[index]].due;
}

std::optional<std::uint32_t> TimerQueue::PopDue(TimePoint now) {
  if (m_heap.empty() || m_heap.front().due > now) {
    return std::nullopt;
  }
  const std::uint32_t index = m_heap.front().index;
  Remove(index);
  return index;
}

void TimerQueue::Place(std::size_t position, const Entry& entry) {
  m_heap[position] = entry;
  m_positions[entry.index] = static_cast<std::uint32_t>(position);
}

void TimerQueue::MoveUp(std::size_t position) {
  const Entry entry = m_heap[position];
  while (position > 0) {
    const std::size_t parent = (position - 1) / 2;
    if (m_heap[parent].due <= entry.due) {
      break;
    }
    Place(position, m_heap[parent]);
    position = parent;
  }
  Place(position, entry);
}

void TimerQueue::MoveDown(std::size_t position) {
  const Entry entry = m_heap[position];
  while (true) {
    std::size_t child = 2 * position + 1;
    if (child >= m_heap.size()) {
      break;
    }
    if (child + 1 < m_heap.size() &&
        m_heap[child + 1].due < m_heap[child].due) {
      ++child;
    }
    if (entry.due <= m_heap[child].due) {
      break;
    }
    Place(position, m_heap[child]);
    position = child;
  }
  Place(position, entry);
}

}  // namespace fireflytrestle
