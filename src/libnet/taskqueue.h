#ifndef FIREFLYTRESTLE_LIBNET_TASKQUEUE_H_
#define FIREFLYTRESTLE_LIBNET_TASKQUEUE_H_

#include <QObject>
#include <chrono>
#include <functional>

namespace fireflytrestle {

/// \brief Runs functions on the event loop of the thread that the queue belongs
/// to.
class TaskQueue : public QObject {
 public:
  /// Runs \p task after all tasks posted before. Thread-safe. Tasks that have
  /// not run when the queue is destroyed are discarded.
  void Post(std::function<void()> task);

  bool event(QEvent* event) override;
};

/// Runs \p task on the thread of \p context after \p delay, unless \p context
/// is destroyed first. Must be called on that thread.
void CallAfter(QObject* context,
               std::chrono::milliseconds delay,
               std::function<void()> task);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_TASKQUEUE_H_
