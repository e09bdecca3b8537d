#include "soak/soakrun.h"

#include <QDateTime>
#include <csignal>
#include <utility>

#include "soak/soaksite.h"

namespace fireflytrestle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStepTime{50};
/// Time between the end of all faults and the final check, for processes to
/// start and become stable.
constexpr milliseconds kSettleTime{5000};
/// Times for which processes are away at planned work, from their stop signal
/// to their start.
constexpr int kMinAwayMs = 100;
constexpr int kMaxAgentAwayMs = 2400;
constexpr int kMaxBalancerAwayMs = 6500;
/// Work of a request in a shortage; upstreams have three slots.
constexpr int kMinShortageWorkMs = 50;
constexpr int kMaxShortageWorkMs = 100;

}  // namespace

void SoakRun::Run(milliseconds time) {
  m_begin = m_site->Now();
  TimePoint next_fault = m_begin + std::chrono::seconds(1);
  while (m_site->Now() - m_begin < time) {
    Step();
    const TimePoint now = m_site->Now();
    if (now >= next_fault) {
      CauseFault();
      // Some longer gaps let processes become stable, since some invariants are
      // checked for stable processes only. Planned work leaves them stable.
      next_fault = now + (m_faults == Faults::kPlanned ? DrawTime(100, 1500)
                          : Draw(6) == 0               ? DrawTime(5000, 7000)
                                                       : DrawTime(100, 2500));
    }
  }
  m_scheduled_actions.clear();
  RecordEvent("all faults end");
  m_site->EndAllFaults();
  for (std::size_t i = 0; i < m_site->instances(); ++i) {
    RestartWhenStopped(i);
  }
  const TimePoint settled = m_site->Now() + kSettleTime;
  while (m_site->Now() < settled) {
    Step();
  }
  m_site->CheckServesNewFlows();
  if (m_faults == Faults::kShortage) {
    m_site->CheckOrdersComeFirst();
  }
}

void SoakRun::Step() {
  m_site->Run(kStepTime);
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
}

void SoakRun::CauseShortage() {
  const milliseconds work = DrawTime(kMinShortageWorkMs, kMaxShortageWorkMs);
  m_site->SetWork(work);
  RecordEvent("requests take " + std::to_string(work.count()) + " ms");
  RunAfter(DrawTime(800, 3000),
           [this] { m_site->SetWork(SoakSite::kUsualWork); });
}

void SoakRun::DoPlannedWork() {
  switch (Draw(8)) {
    case 0:
    case 1:
    case 2:
      RestartAgentsTogether();
      break;
    case 3:
    case 4:
      RestartBalancers();
      break;
    case 5:
      SignalRunning(Draw(m_site->instances()), SIGHUP);
      break;
    case 6:
      DrainUpstream(Draw(m_site->instances() - m_site->balancers()));
      break;
    default:
      ChangeConfigurationOrZone();
  }
}

void SoakRun::RestartAgentsTogether() {
  const std::size_t agents = m_site->instances() - m_site->balancers();
  const std::size_t stopped = 1 + Draw((agents + 2) / 3);
  const std::size_t begin = Draw(agents);
  const milliseconds away = DrawTime(kMinAwayMs, kMaxAgentAwayMs);
  RecordEvent("restart " + std::to_string(stopped) + " agents after " +
              std::to_string(away.count()) + " ms");
  for (std::size_t i = 0; i < stopped; ++i) {
    const std::size_t instance = m_site->balancers() + (begin + i) % agents;
    // Those that stop later are away for a shorter time.
    const milliseconds delay =
        i == 0 ? milliseconds(0)
               : DrawTime(0, static_cast<int>(away.count()) - kMinAwayMs);
    RunAfter(delay, [this, instance] { SignalRunning(instance, SIGTERM); });
    RunAfter(away, [this, instance] { RestartWhenStopped(instance); });
  }
}

void SoakRun::RestartBalancers() {
  const std::size_t stopped = 1 + Draw((m_site->balancers() + 1) / 2);
  const std::size_t begin = Draw(m_site->balancers());
  for (std::size_t i = 0; i < stopped; ++i) {
    const std::size_t instance = (begin + i) % m_site->balancers();
    const milliseconds delay = DrawTime(0, 1500) * static_cast<int>(i);
    const milliseconds away = DrawTime(kMinAwayMs, kMaxBalancerAwayMs);
    RunAfter(delay, [this, instance] { SignalRunning(instance, SIGTERM); });
    RunAfter(delay + away, [this, instance] { RestartWhenStopped(instance); });
  }
}

void SoakRun::SignalRunning(std::size_t instance, int signal) {
  if (m_faults == Faults::kPlanned &&
      (!m_site->HasStarted(instance) || m_site->IsStopping(instance))) {
    return;
  }
  RecordEvent((signal == SIGHUP ? "reload " : "stop ") +
              std::to_string(instance));
  m_site->Signal(instance, signal);
}

void SoakRun::CauseExtendedFault() {
  switch (Draw(4)) {
    case 0:
      RollProcesses();
      break;
    case 1:
      ReuseAddress();
      break;
    case 2: {
      const std::uint64_t kind = Draw(6);
      RecordEvent("odd entry, kind " + std::to_string(kind));
      m_site->PutOddEntry(Draw(m_site->instances() - m_site->balancers()),
                          kind);
      break;
    }
    default:
      CutReaders();
  }
}

void SoakRun::RollProcesses() {
  const bool agents = Draw(2) == 0;
  const std::size_t first = agents ? m_site->balancers() : 0;
  const std::size_t count =
      agents ? m_site->instances() - m_site->balancers() : m_site->balancers();
  const std::size_t stopped = 1 + Draw((count + 2) / 3);
  const milliseconds gap = DrawTime(100, 1300);
  const std::size_t begin = Draw(count);
  for (std::size_t i = 0; i < stopped; ++i) {
    RunAfter(gap * static_cast<int>(i),
             [this, instance = first + (begin + i) % count] {
               EndProcess(instance, SIGTERM, DrawTime(100, 1500));
             });
  }
}

void SoakRun::ReuseAddress() {
  const std::size_t agent = Draw(m_site->instances() - m_site->balancers());
  const std::size_t instance = m_site->balancers() + agent;
  if (!m_site->EndUpstream(agent)) {
    return;
  }
  const bool paused = Draw(2) == 0;
  RecordEvent("upstream " + std::to_string(agent) + " ends, its agent is " +
              (paused ? "paused" : "killed"));
  m_site->Signal(instance, paused ? SIGSTOP : SIGKILL);
  RunAfter(SoakSite::kReuseAfter, [this, agent, instance, paused] {
    RecordEvent("its address is used again");
    m_site->ReuseAddress(agent);
    if (paused) {
      m_site->Signal(instance, SIGCONT);
    }
    // The agent of the new upstream replaces the one before.
    RunAfter(milliseconds(paused ? 300 : 0), [this, instance] {
      m_site->Signal(instance, SIGKILL);
      RunAfter(2 * kStepTime,
               [this, instance] { m_site->StartProcess(instance); });
    });
  });
}

void SoakRun::CutReaders() {
  const std::set<std::size_t> readers = m_site->StoreReaders();
  if (readers.size() == m_site->balancers()) {
    return;
  }
  RecordEvent("the readers of the store are cut off from it during a change");
  for (const std::size_t reader : readers) {
    m_site->SetStoreFault(reader, FakeStore::Fault::kNoResponse);
  }
  m_site->PublishConfiguration();
  RunAfter(DrawTime(3000, 5000), [this, readers] {
    for (const std::size_t reader : readers) {
      m_site->SetStoreFault(reader, FakeStore::Fault::kNone);
    }
  });
}

void SoakRun::CauseFault() {
  if (m_faults == Faults::kPlanned) {
    DoPlannedWork();
    return;
  }
  if (m_faults == Faults::kShortage) {
    CauseShortage();
    return;
  }
  if (m_faults == Faults::kExtended && Draw(2) == 0) {
    CauseExtendedFault();
    return;
  }
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
  RunAfter(down, [this, instance] { RestartWhenStopped(instance); });
}

void SoakRun::RestartWhenStopped(std::size_t instance) {
  // A paused process stops only after its pause.
  if (m_site->IsStopping(instance)) {
    RunAfter(kStepTime, [this, instance] { RestartWhenStopped(instance); });
    return;
  }
  m_site->StartProcess(instance);
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
  DrainUpstream(agent);
}

void SoakRun::DrainUpstream(std::size_t agent) {
  RecordEvent("upstream " + std::to_string(agent) + " drains");
  m_site->SetDraining(agent, true);
  RunAfter(DrawTime(2000, 9000),
           [this, agent] { m_site->SetDraining(agent, false); });
}

void SoakRun::ChangeConfigurationOrZone() {
  if (Draw(2) == 0) {
    RecordEvent("configuration changes");
    m_site->PublishConfiguration();
    SignalRunning(Draw(m_site->instances()), SIGHUP);
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
  m_history.push_back(
      QDateTime::currentDateTimeUtc().toString("hh:mm:ss.zzz ").toStdString() +
      std::to_string(at.count()) + " ms: " + what);
}

milliseconds SoakRun::DrawTime(int min_ms, int max_ms) {
  return milliseconds(min_ms + static_cast<int>(Draw(static_cast<std::uint64_t>(
                                   max_ms - min_ms + 1))));
}

}  // namespace fireflytrestle
