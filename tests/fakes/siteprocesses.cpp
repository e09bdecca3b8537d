#include "fakes/siteprocesses.h"

#include <sys/prctl.h>
#include <QDeadlineTimer>

#include <csignal>
#include <cstdio>

namespace fireflytrestle {

namespace {

constexpr int kControlTimeoutMs = 10000;
constexpr int kKillTimeoutMs = 2000;

}  // namespace

SiteProcesses::SiteProcesses(QString program_folder, QString log_folder)
    : m_program_folder(std::move(program_folder)),
      m_log_folder(std::move(log_folder)) {}

SiteProcesses::~SiteProcesses() {
  StopAll(std::chrono::milliseconds(0));
}

void SiteProcesses::Start(const std::string& name,
                          const QString& program,
                          const QStringList& arguments) {
  auto process = std::make_unique<QProcess>();
  process->setProcessChannelMode(QProcess::MergedChannels);
  process->setStandardOutputFile(
      m_log_folder + "/" + QString::fromStdString(name) + ".log",
      QIODevice::Append);
  // Kills the process when the driver ends; an aborted driver would otherwise
  // leave processes that occupy the ports.
  process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  process->start(m_program_folder + "/" + program, arguments);
  process->waitForStarted();
  m_processes[name] = std::move(process);
}

void SiteProcesses::Signal(const std::string& name, int signal) {
  if (IsRunning(name)) {
    ::kill(static_cast<pid_t>(m_processes.at(name)->processId()), signal);
  }
}

bool SiteProcesses::IsRunning(const std::string& name) const {
  const auto process = m_processes.find(name);
  return process != m_processes.end() &&
         process->second->state() == QProcess::Running;
}

int SiteProcesses::ExitCode(const std::string& name) const {
  const auto process = m_processes.find(name);
  const bool ended = process != m_processes.end() &&
                     process->second->state() == QProcess::NotRunning &&
                     process->second->exitStatus() == QProcess::NormalExit;
  return ended ? process->second->exitCode() : -1;
}

qint64 SiteProcesses::ProcessId(const std::string& name) const {
  return IsRunning(name) ? m_processes.at(name)->processId() : 0;
}

std::string SiteProcesses::DescribeEnd(const std::string& name) const {
  const auto process = m_processes.find(name);
  if (process == m_processes.end()) {
    return "never started";
  }
  if (process->second->error() == QProcess::FailedToStart) {
    return "failed to start: " + process->second->errorString().toStdString();
  }
  // QProcess stores the number of the signal in place of the exit code.
  return (process->second->exitStatus() == QProcess::CrashExit ? "signal "
                                                               : "exit code ") +
         std::to_string(process->second->exitCode());
}

int SiteProcesses::RunControl(const QStringList& arguments) {
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(m_program_folder + "/fireflytrestle-ctl", arguments);
  if (!process.waitForFinished(kControlTimeoutMs) ||
      process.exitStatus() != QProcess::NormalExit) {
    return -1;
  }
  if (process.exitCode() != 0) {
    std::fputs(process.readAll().constData(), stderr);
  }
  return process.exitCode();
}

void SiteProcesses::StopAll(std::chrono::milliseconds grace_period) {
  for (const auto& [name, process] : m_processes) {
    Signal(name, SIGCONT);
    Signal(name, SIGTERM);
  }
  const QDeadlineTimer deadline(grace_period);
  for (const auto& [name, process] : m_processes) {
    const int remaining = static_cast<int>(deadline.remainingTime());
    if (process->state() != QProcess::NotRunning &&
        !process->waitForFinished(remaining)) {
      process->kill();
      process->waitForFinished(kKillTimeoutMs);
    }
  }
  m_processes.clear();
}

}  // namespace fireflytrestle
