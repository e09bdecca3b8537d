#include "libnet/signalnotifier.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "eventloop.h"

namespace fireflytrestle {

TEST_CASE("The first signal starts the graceful stop") {
  // Guards against a stop that interrupts requests.
  EnsureEventLoop();
  int stops = 0;
  const SignalNotifier signals([&] { ++stops; });
  raise(SIGTERM);
  CHECK(stops == 0);
  CHECK(RunUntil([&] { return stops == 1; }));
}

TEST_CASE("A reload signal is reported each time and stops nothing") {
  // Guards against a process that ends because its settings file changed.
  EnsureEventLoop();
  int stops = 0;
  int reloads = 0;
  const SignalNotifier signals([&] { ++stops; }, [&] { ++reloads; });
  raise(SIGHUP);
  CHECK(RunUntil([&] { return reloads == 1; }));
  raise(SIGHUP);
  CHECK(RunUntil([&] { return reloads == 2; }));
  CHECK(stops == 0);
  raise(SIGTERM);
  CHECK(RunUntil([&] { return stops == 1; }));
}

TEST_CASE("The second signal ends the process without its event loop") {
  // Guards against a process that can only be killed.
  EnsureEventLoop();
  const pid_t child = fork();
  if (child == 0) {
    const SignalNotifier signals([] {});
    raise(SIGTERM);
    raise(SIGTERM);
    _exit(0);
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 1);
}

}  // namespace fireflytrestle
