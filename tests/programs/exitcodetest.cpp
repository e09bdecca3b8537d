#include <doctest/doctest.h>

#include <QProcess>
#include <QTcpServer>
#include <csignal>

#include "libnet/eventloop.h"

namespace fireflytrestle {

namespace {

constexpr char kBalancer[] = PROGRAMS_FOLDER "/fireflytrestle-balancer";
constexpr char kAgent[] = PROGRAMS_FOLDER "/fireflytrestle-agent";
constexpr int kTimeoutMs = 10000;

/// Returns an address that was free when it was checked.
QString FreeAddress() {
  QTcpServer server;
  server.listen(QHostAddress(QHostAddress::LocalHost));
  return "127.0.0.1:" + QString::number(server.serverPort());
}

QStringList AgentArguments() {
  return {"--instance-id=1",
          "--region=local",
          "--zone=bole",
          "--admin-address=" + FreeAddress(),
          "--platform-address=" + FreeAddress(),
          "--flow-keys=1:000102030405060708090a0b0c0d0e0f",
          "--target-id=3",
          "--agent-address=" + FreeAddress(),
          "--upstream-address=" + FreeAddress()};
}

struct Outcome {
  int exit_code = -1;
  QList<QByteArray> lines;
};

Outcome RunProgram(const char* program, const QStringList& arguments) {
  EnsureEventLoop();
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(program, arguments);
  if (!process.waitForFinished(kTimeoutMs)) {
    return {};
  }
  return {process.exitCode(), process.readAll().trimmed().split('\n')};
}

}  // namespace

TEST_CASE("Invalid settings end both programs with code 2, a line per fault") {
  // Guards against a program that reports only its first invalid setting, so
  // that each start reveals one more.
  CHECK(RunProgram(kBalancer, {"--zone="}).exit_code == 2);
  CHECK(RunProgram(kBalancer, {}).lines.size() == 10);
  const Outcome outcome =
      RunProgram(kAgent, AgentArguments() +
                             QStringList{"--zone=", "--upstream-address=x"});
  CHECK(outcome.exit_code == 2);
  CHECK(outcome.lines.size() == 2);
  CHECK(RunProgram(kAgent, AgentArguments() + QStringList{"--check-settings"})
            .exit_code == 0);
}

TEST_CASE("An address in use ends an agent with code 1 and one error line") {
  // Guards against a process that keeps running without one of its sockets.
  QTcpServer server;
  server.listen(QHostAddress(QHostAddress::LocalHost));
  const QString taken = "127.0.0.1:" + QString::number(server.serverPort());
  const Outcome outcome = RunProgram(
      kAgent, AgentArguments() + QStringList{"--admin-address=" + taken});
  CHECK(outcome.exit_code == 1);
  REQUIRE(outcome.lines.size() == 1);
  CHECK(outcome.lines[0].contains("\"source\":\"" + taken.toUtf8() + "\""));
}

TEST_CASE("SIGTERM ends an agent without flows with code 0") {
  // Guards against a graceful stop that waits although no flow is open.
  EnsureEventLoop();
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(kAgent, AgentArguments());
  CHECK(RunUntil([&] { return process.bytesAvailable() > 0; }));
  kill(static_cast<pid_t>(process.processId()), SIGTERM);
  CHECK(process.waitForFinished(kTimeoutMs));
  CHECK(process.exitStatus() == QProcess::NormalExit);
  CHECK(process.exitCode() == 0);
}

}  // namespace fireflytrestle
