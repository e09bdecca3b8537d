#ifndef FIREFLYTRESTLE_LIBNET_SIGNALNOTIFIER_H_
#define FIREFLYTRESTLE_LIBNET_SIGNALNOTIFIER_H_

#include <functional>
#include <memory>

class QSocketNotifier;

namespace fireflytrestle {

/// \brief Calls a stop handler on the event loop at the first SIGTERM or
/// SIGINT, and a reload handler at each SIGHUP.
///
/// A second SIGTERM or SIGINT ends the process at once with exit code 1, even
/// if the event loop does not run. SIGPIPE is ignored.
class SignalNotifier {
 public:
  /// At most one object may exist at a time. Without \p on_reload, SIGHUP is
  /// not handled.
  explicit SignalNotifier(std::function<void()> on_stop,
                          std::function<void()> on_reload = nullptr);
  ~SignalNotifier();

  SignalNotifier(const SignalNotifier&) = delete;
  SignalNotifier& operator=(const SignalNotifier&) = delete;

 private:
  void Read();

  std::function<void()> m_on_stop;
  std::function<void()> m_on_reload;
  int m_read_end = -1;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_SIGNALNOTIFIER_H_
