#ifndef FIREFLYTRESTLE_LIBNET_ACTIONQUEUE_H_
#define FIREFLYTRESTLE_LIBNET_ACTIONQUEUE_H_

#include <functional>
#include <utility>
#include <vector>

namespace fireflytrestle {

/// \brief Executes the actions that decision code returns, in the order in
/// which it returned them.
///
/// Executing an action may call the decision code again. The actions of that
/// nested call are executed after those that are already queued.
template <typename Action>
class ActionQueue {
 public:
  explicit ActionQueue(std::function<void(const Action&)> execute)
      : m_execute(std::move(execute)) {}

  /// Calls \p decide with a list to append actions to, and executes all queued
  /// actions. A nested call only queues its actions; the outer call executes
  /// them.
  template <typename Decide>
  void Run(Decide decide) {
    decide(&m_pending);
    if (m_executing) {
      return;
    }
    m_executing = true;
    while (!m_pending.empty()) {
      std::swap(m_pending, m_batch);
      for (const Action& action : m_batch) {
        m_execute(action);
      }
      m_batch.clear();
    }
    m_executing = false;
  }

  /// Queues the actions that \p decide appends without executing them; the next
  /// Run() executes them. Returns the result of \p decide.
  template <typename Decide>
  auto Defer(Decide decide) {
    return decide(&m_pending);
  }

 private:
  std::function<void(const Action&)> m_execute;
  std::vector<Action> m_pending;
  std::vector<Action> m_batch;
  bool m_executing = false;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_ACTIONQUEUE_H_
