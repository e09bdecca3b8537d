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
  /// \p site must outlive the run.
  SoakRun(SoakSite* site, std::uint64_t seed) : m_site(site), m_random(seed) {}

  void Run(std::chrono::milliseconds time);

  /// Faults and changes in the order of their injection, each with its time.
  const std::vector<std::string>& history() const { return m_history; }

 private:
  struct ScheduledAction {
    TimePoint at;
    std::function<void()> action;
  };

  void CauseFault();
  void EndProcess(std::size_t instance,
                  int signal,
                  std::chrono::milliseconds down);
  void Pause(std::size_t instance);
  void ImpairLink(std::size_t instance);
  void ImpairStore();
  void ChangeUpstream();
  void ChangeConfigurationOrZone();
  void KillRandomProcesses();
  void RunAfter(std::chrono::milliseconds time, std::function<void()> action);
  void RecordEvent(const std::string& what);
  std::uint64_t Draw(std::uint64_t below) { return m_random.Below(below); }
  std::chrono::milliseconds DrawTime(int min_ms, int max_ms);

  SoakSite* m_site;
  SeededRandom m_random;
  TimePoint m_begin{};
  std::vector<ScheduledAction> m_scheduled_actions;
  std::vector<std::string> m_history;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_SOAK_SOAKRUN_H_
