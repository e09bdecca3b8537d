#ifndef FIREFLYTRESTLE_LIBNET_WORKERTHREAD_H_
#define FIREFLYTRESTLE_LIBNET_WORKERTHREAD_H_

#include <QThread>
#include <functional>

#include "libnet/taskqueue.h"

namespace fireflytrestle {

/// \brief A thread with an event loop that runs functions posted to it.
class WorkerThread {
 public:
  WorkerThread();

  /// Ends the event loop and joins the thread. Objects with sockets or timers
  /// on the thread must have been destroyed on it by Run() before.
  ~WorkerThread();

  /// Runs \p task on the thread after all tasks posted before.
  void Post(std::function<void()> task) { m_tasks.Post(std::move(task)); }

  /// Runs \p task on the thread and waits until it has finished. Must not be
  /// called on the thread itself.
  void Run(const std::function<void()>& task);

 private:
  QThread m_thread;
  TaskQueue m_tasks;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_WORKERTHREAD_H_
