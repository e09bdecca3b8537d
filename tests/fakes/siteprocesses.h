#ifndef FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_

#include <QProcess>
#include <QString>
#include <QStringList>
#include <map>
#include <memory>
#include <string>

namespace fireflytrestle {

/// \brief Starts and stops the programs under test; each has its own log file.
class SiteProcesses {
 public:
  SiteProcesses(QString program_folder, QString log_folder);
  ~SiteProcesses();

  SiteProcesses(const SiteProcesses&) = delete;
  SiteProcesses& operator=(const SiteProcesses&) = delete;

  void Start(const std::string& name,
             const QString& program,
             const QStringList& arguments);

  /// Sends \p signal, such as SIGTERM or SIGSTOP, if the process is running.
  void Signal(const std::string& name, int signal);

  bool IsRunning(const std::string& name) const;

  /// Exit code of a process that has exited normally, or -1 if it is running,
  /// was ended by a signal or was never started.
  int ExitCode(const std::string& name) const;

  /// Returns the number of the process, or 0 if it is not running.
  qint64 ProcessId(const std::string& name) const;

  /// Returns how a process that is not running ended, for messages.
  std::string DescribeEnd(const std::string& name) const;

  /// Runs fireflytrestle-ctl and returns its exit code, or -1 if it does not
  /// finish within 10 s or does not exit normally.
  int RunControl(const QStringList& arguments);

  /// Resumes paused processes and sends SIGTERM to all; those that still run
  /// after \p grace_period get SIGKILL.
  void StopAll(std::chrono::milliseconds grace_period);

 private:
  QString m_program_folder;
  QString m_log_folder;
  std::map<std::string, std::unique_ptr<QProcess>> m_processes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_
