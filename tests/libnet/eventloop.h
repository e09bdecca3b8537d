#ifndef FIREFLYTRESTLE_TESTS_LIBNET_EVENTLOOP_H_
#define FIREFLYTRESTLE_TESTS_LIBNET_EVENTLOOP_H_

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <functional>

namespace fireflytrestle {

/// Runs the event loop until \p done returns true, but at most for 5 s. Returns
/// the last result of \p done.
inline bool RunUntil(const std::function<bool()>& done) {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  if (QCoreApplication::instance() == nullptr) {
    static const QCoreApplication application(argc, argv);
  }
  const QDeadlineTimer deadline(5000);
  bool is_done = done();
  while (!is_done && !deadline.hasExpired()) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    is_done = done();
  }
  return is_done;
}

/// Creates the QCoreApplication that sockets and timers need, if there is none.
inline void EnsureEventLoop() {
  RunUntil([] { return true; });
}

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBNET_EVENTLOOP_H_
