#include "libnet/signalnotifier.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "eventloop.h"

namespace fireflytrestle {

TEST_CASE("The first SIGTERM calls the stop handler on the event loop") {
  // Guards against a stop that ends the process before its requests finish.
  EnsureEventLoop();
  int stops = 0;
  const SignalNotifier signals([&] { ++stops; });
  raise(SIGTERM);
  CHECK(stops == 0);
  CHECK(RunUntil([&] { return stops == 1; }));
}

TEST_CASE(
    "Each SIGHUP calls the reload handler and does not stop the process") {
  // Guards against a process that SIGHUP ends instead of reloading it.
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

TEST_CASE("A second SIGTERM ends the process without using the event loop") {
  // Guards against a blocked process that only SIGKILL can end.
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
