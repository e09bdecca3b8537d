#include "soak/soakrun.h"

#include <csignal>
#include <utility>

#include "soak/soaksite.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr int kOrdersPerSecond = 40;
constexpr milliseconds kStepTime{50};
/// Time between the end of all faults and the final check, for processes to
/// start and become stable.
constexpr milliseconds kSettleTime{5000};

}  // namespace

void SoakRun::Run(milliseconds time) {
  m_begin = m_site->Now();
  TimePoint next_fault = m_begin + std::chrono::seconds(1);
  while (m_site->Now() - m_begin < time) {
    m_site->Run(kStepTime, kOrdersPerSecond);
    const TimePoint now = m_site->Now();
    std::vector<ScheduledAction> due;
    std::erase_if(m_scheduled_actions, [&](const ScheduledAction& each) {
      if (each.at <= now) {
        due.push_back(each);
      }
      return each.at <= now;
    });
    for (const ScheduledAction& each : due) {
      each.action();
    }
    if (now >= next_fault) {
      CauseFault();
      // Some longer gaps let processes become stable, since some invariants are
      // checked for stable processes only.
      next_fault =
          now + (Draw(6) == 0 ? DrawTime(5000, 7000) : DrawTime(100, 2500));
    }
  }
  m_scheduled_actions.clear();
  RecordEvent("all faults end");
  m_site->EndAllFaults();
  m_site->Run(kSettleTime, kOrdersPerSecond);
  m_site->CheckServesNewFlows();
}

void SoakRun::CauseFault() {
  const std::size_t instance = Draw(m_site->instances());
  switch (Draw(9)) {
    case 0:
      EndProcess(instance, SIGKILL, DrawTime(100, 1500));
      break;
    case 1:
    case 2:
      EndProcess(instance, SIGTERM, DrawTime(100, 1500));
      break;
    case 3:
      Pause(instance);
      break;
    case 4:
      ImpairLink(instance);
      break;
    case 5:
      ImpairStore();
      break;
    case 6:
      ChangeUpstream();
      break;
    case 7:
      ChangeConfigurationOrZone();
      break;
    default:
      KillRandomProcesses();
  }
}

void SoakRun::EndProcess(std::size_t instance, int signal, milliseconds down) {
  RecordEvent((signal == SIGKILL ? "kill " : "stop ") +
              std::to_string(instance));
  m_site->Signal(instance, signal);
  // StartProcess() has no effect while the process is still stopping, so it is
  // called once more one step later.
  RunAfter(down, [this, instance] {
    if (m_site->IsRunning(instance)) {
      RunAfter(kStepTime, [this, instance] { m_site->StartProcess(instance); });
    }
    m_site->StartProcess(instance);
  });
}

void SoakRun::Pause(std::size_t instance) {
  RecordEvent("pause " + std::to_string(instance));
  m_site->Signal(instance, SIGSTOP);
  RunAfter(DrawTime(100, 3000),
           [this, instance] { m_site->Signal(instance, SIGCONT); });
}

void SoakRun::ImpairLink(std::size_t instance) {
  const std::uint64_t kind = Draw(4);
  RecordEvent("impair link of " + std::to_string(instance) + ", kind " +
              std::to_string(kind));
  if (kind == 0 || kind == 1) {
    m_site->From(instance).blocked = true;
  }
  if (kind == 0 || kind == 2) {
    m_site->To(instance).blocked = true;
  }
  if (kind == 3) {
    m_site->From(instance).delay = DrawTime(1, 80);
    m_site->To(instance).loss_permille = static_cast<std::uint32_t>(Draw(200));
  }
  RunAfter(DrawTime(200, 3000), [this, instance] {
    m_site->From(instance) = {};
    m_site->To(instance) = {};
  });
}

void SoakRun::ImpairStore() {
  constexpr std::uint64_t kFaults = 4;
  const auto fault = static_cast<FakeStore::Fault>(1 + Draw(kFaults));
  const bool all = Draw(2) == 0;
  const std::size_t first = Draw(m_site->balancers());
  RecordEvent("store, fault " + std::to_string(static_cast<int>(fault)) +
              (all ? " for all" : " for " + std::to_string(first)));
  if (Draw(3) == 0) {
    m_site->DropStoreHistory();
  }
  for (std::size_t i = 0; i < m_site->balancers(); ++i) {
    if (all || i == first) {
      m_site->SetStoreFault(i, fault);
    }
  }
  RunAfter(DrawTime(200, 4000), [this] {
    for (std::size_t i = 0; i < m_site->balancers(); ++i) {
      m_site->SetStoreFault(i, FakeStore::Fault::kNone);
    }
  });
}

void SoakRun::ChangeUpstream() {
  const std::size_t agent = Draw(m_site->instances() - m_site->balancers());
  if (Draw(2) == 0) {
    RecordEvent("upstream " + std::to_string(agent) + " restarts");
    m_site->RestartUpstream(agent);
    return;
  }
  RecordEvent("upstream " + std::to_string(agent) + " drains");
  m_site->SetDraining(agent, true);
  RunAfter(DrawTime(2000, 9000),
           [this, agent] { m_site->SetDraining(agent, false); });
}

void SoakRun::ChangeConfigurationOrZone() {
  if (Draw(2) == 0) {
    RecordEvent("configuration changes");
    m_site->PublishConfiguration();
    m_site->Signal(Draw(m_site->instances()), SIGHUP);
    return;
  }
  RecordEvent("zone out");
  m_site->SetZoneOut(true);
  RunAfter(DrawTime(3000, 10000), [this] { m_site->SetZoneOut(false); });
}

void SoakRun::KillRandomProcesses() {
  RecordEvent("many processes are killed");
  const std::uint64_t share = 1 + Draw(4);
  for (std::size_t i = 0; i < m_site->instances(); ++i) {
    if (Draw(4) < share) {
      m_site->Signal(i, SIGKILL);
      RunAfter(DrawTime(200, 1000), [this, i] { m_site->StartProcess(i); });
    }
  }
}

void SoakRun::RunAfter(milliseconds time, std::function<void()> action) {
  m_scheduled_actions.push_back({m_site->Now() + time, std::move(action)});
}

void SoakRun::RecordEvent(const std::string& what) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(m_site->Now() - m_begin);
  m_history.push_back(std::to_string(at.count()) + " ms: " + what);
}

milliseconds SoakRun::DrawTime(int min_ms, int max_ms) {
  return milliseconds(min_ms + static_cast<int>(Draw(static_cast<std::uint64_t>(
                                   max_ms - min_ms + 1))));
}

}  // namespace fireflytrestle
