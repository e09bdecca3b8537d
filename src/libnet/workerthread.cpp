#include "libnet/workerthread.h"

#include <future>

namespace fireflytrestle {

WorkerThread::WorkerThread() {
  m_tasks.moveToThread(&m_thread);
  m_thread.start();
}

WorkerThread::~WorkerThread() {
  m_thread.quit();
  m_thread.wait();
}

void WorkerThread::Run(const std::function<void()>& task) {
  std::promise<void> done;
  Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace fireflytrestle
