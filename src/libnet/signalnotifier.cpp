#include "libnet/signalnotifier.h"

#include <fcntl.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <atomic>
#include <csignal>
#include <utility>

namespace fireflytrestle {

namespace {

// Signal handlers can access only static state.
std::atomic<int> g_write_end{-1};
std::atomic<bool> g_stop_requested{false};
static_assert(std::atomic<int>::is_always_lock_free);
static_assert(std::atomic<bool>::is_always_lock_free);

constexpr char kStopEvent = 's';
constexpr char kReloadEvent = 'r';

// Writes the event to the pipe that the event loop reads. The write fails only
// if the pipe is full; the unread events in it then make this one redundant.
void NotifyEventLoop(char event) {
  [[maybe_unused]] const ssize_t written = write(g_write_end, &event, 1);
}

void OnSignal(int signal) {
  if (signal == SIGHUP) {
    NotifyEventLoop(kReloadEvent);
    return;
  }
  if (g_stop_requested.exchange(true)) {
    _exit(EXIT_FAILURE);
  }
  NotifyEventLoop(kStopEvent);
}

void SetHandler(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;
  sigaction(signal, &action, nullptr);
}

}  // namespace

SignalNotifier::SignalNotifier(std::function<void()> on_stop,
                               std::function<void()> on_reload)
    : m_on_stop(std::move(on_stop)), m_on_reload(std::move(on_reload)) {
  int ends[2] = {-1, -1};
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) {
    std::abort();
  }
  m_read_end = ends[0];
  g_write_end = ends[1];
  g_stop_requested = false;
  m_notifier =
      std::make_unique<QSocketNotifier>(m_read_end, QSocketNotifier::Read);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated,
                   m_notifier.get(), [this] { Read(); });
  if (m_on_reload) {
    SetHandler(SIGHUP, OnSignal);
  }
  SetHandler(SIGTERM, OnSignal);
  SetHandler(SIGINT, OnSignal);
  SetHandler(SIGPIPE, SIG_IGN);
}

void SignalNotifier::Read() {
  char event = 0;
  while (read(m_read_end, &event, 1) == 1) {
    if (event == kStopEvent) {
      m_notifier->setEnabled(false);
      m_on_stop();
      return;
    }
    m_on_reload();
  }
}

SignalNotifier::~SignalNotifier() {
  SetHandler(SIGHUP, SIG_DFL);
  SetHandler(SIGTERM, SIG_DFL);
  SetHandler(SIGINT, SIG_DFL);
  m_notifier.reset();
  close(m_read_end);
  close(g_write_end.exchange(-1));
}

}  // namespace fireflytrestle
