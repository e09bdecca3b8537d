#ifndef FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_
#define FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_

#include <QProcess>
#include <QString>
#include <QStringList>
#include <map>
#include <memory>
#include <string>

namespace fireflytrestle {

/// \brief Starts and ends the programs under test, with one log file each.
class SiteProcesses {
 public:
  SiteProcesses(QString program_folder, QString log_folder);
  ~SiteProcesses();

  SiteProcesses(const SiteProcesses&) = delete;
  SiteProcesses& operator=(const SiteProcesses&) = delete;

  void Start(const std::string& name,
             const QString& program,
             const QStringList& arguments);

  /// Sends \p signal, such as SIGTERM or SIGSTOP, if the process runs.
  void Signal(const std::string& name, int signal);

  bool IsRunning(const std::string& name) const;

  /// Exit code of a process that has ended by itself, or -1.
  int ExitCode(const std::string& name) const;

  /// Runs the operators' command to its end and returns its exit code.
  int RunControl(const QStringList& arguments);

  /// Stops all processes: SIGTERM, and after \p patience SIGKILL.
  void StopAll(std::chrono::milliseconds grace_period);

 private:
  QString m_program_folder;
  QString m_log_folder;
  std::map<std::string, std::unique_ptr<QProcess>> m_processes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_SITEPROCESSES_H_
