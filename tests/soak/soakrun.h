#ifndef FIREFLYTRESTLE_TESTS_SOAK_SOAKRUN_H_
#define FIREFLYTRESTLE_TESTS_SOAK_SOAKRUN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "libbase/clock.h"
#include "libbase/seededrandom.h"

namespace fireflytrestle {

class SoakSite;

/// \brief Injects random faults into a site under load, in sequence and
/// overlapping, and ends all of them before the final check.
class SoakRun {
 public:
  enum class Faults {
    kBasic,
    /// Also series of planned stops, reused addresses, odd entries, and cuts of
    /// two readers of the store at the moment of a change.
    kExtended,
    /// Planned work only: agents and balancers are stopped and started again,
    /// several at a time and overlapping, while the configuration, the state of
    /// upstreams and the zones in use change.
    kPlanned,
    /// All upstreams are slow at times, so that there is too little room.
    kShortage,
  };

  /// \p site must outlive the run.
  SoakRun(SoakSite* site, std::uint64_t seed, Faults faults)
      : m_site(site), m_random(seed), m_faults(faults) {}

  void Run(std::chrono::milliseconds time);

  /// Faults and changes in the order of their injection, each with its time.
  const std::vector<std::string>& history() const { return m_history; }

 private:
  struct ScheduledAction {
    TimePoint at;
    std::function<void()> action;
  };

  /// Runs the site for a moment, then the actions that are due.
  void Step();
  void CauseFault();
  void CauseExtendedFault();
  void CauseShortage();
  /// Stops and starts several processes of one kind in turn, as planned.
  void RollProcesses();
  void DoPlannedWork();
  /// Stops several agents one after another and starts all of them at the same
  /// moment.
  void RestartAgentsTogether();
  /// Stops several balancers in turn, for long enough that callers' packets
  /// move to others.
  void RestartBalancers();
  /// Sends a signal, at planned work only to a process that has started and is
  /// not told to stop: another one would end at once, which is not planned.
  void SignalRunning(std::size_t instance, int signal);
  /// An upstream ends and its address goes to another service, while the agent
  /// is paused or down.
  void ReuseAddress();
  void CutReaders();
  void EndProcess(std::size_t instance,
                  int signal,
                  std::chrono::milliseconds down);
  /// Starts the process once the one that stops has ended.
  void RestartWhenStopped(std::size_t instance);
  void Pause(std::size_t instance);
  void ImpairLink(std::size_t instance);
  void ImpairStore();
  void ChangeUpstream();
  void DrainUpstream(std::size_t agent);
  void ChangeConfigurationOrZone();
  void KillRandomProcesses();
  void RunAfter(std::chrono::milliseconds time, std::function<void()> action);
  void RecordEvent(const std::string& what);
  std::uint64_t Draw(std::uint64_t below) { return m_random.Below(below); }
  std::chrono::milliseconds DrawTime(int min_ms, int max_ms);

  SoakSite* m_site;
  SeededRandom m_random;
  Faults m_faults;
  TimePoint m_begin{};
  std::vector<ScheduledAction> m_scheduled_actions;
  std::vector<std::string> m_history;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKRUN_H_
