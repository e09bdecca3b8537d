#include "libnet/taskqueue.h"

#include <QCoreApplication>
#include <QEvent>
#include <QTimer>
#include <utility>

namespace fireflytrestle {

namespace {

class TaskEvent : public QEvent {
 public:
  explicit TaskEvent(std::function<void()> task)
      : QEvent(QEvent::User), m_task(std::move(task)) {}

  void Run() const { m_task(); }

 private:
  std::function<void()> m_task;
};

}  // namespace

void TaskQueue::Post(std::function<void()> task) {
  QCoreApplication::postEvent(this, new TaskEvent(std::move(task)));
}

bool TaskQueue::event(QEvent* event) {
  if (event->type() != QEvent::User) {
    return QObject::event(event);
  }
  static_cast<TaskEvent*>(event)->Run();
  return true;
}

void CallAfter(QObject* context,
               std::chrono::milliseconds delay,
               std::function<void()> task) {
  auto* timer = new QTimer(context);
  timer->setSingleShot(true);
  timer->setTimerType(Qt::PreciseTimer);
  QObject::connect(timer, &QTimer::timeout, timer,
                   [timer, task = std::move(task)] {
                     timer->deleteLater();
                     task();
                   });
  timer->start(delay);
}

}  // namespace fireflytrestle
