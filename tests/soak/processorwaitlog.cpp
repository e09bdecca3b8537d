#include "soak/processorwaitlog.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace fireflytrestle {

void ProcessorWaitLog::Sample(std::size_t instance,
                              std::int64_t pid,
                              TimePoint now) {
  Process& process = m_processes[instance];
  if (process.pid != pid) {
    process = {pid, {}};
  }
  Counters counters{now, {}};
  std::error_code error;
  const std::filesystem::path threads =
      "/proc/" + std::to_string(pid) + "/task";
  for (std::filesystem::directory_iterator each(threads, error), end;
       !error && each != end; each.increment(error)) {
    std::ifstream file(each->path() / "schedstat");
    std::int64_t running = 0;
    std::int64_t waited = 0;
    if (file >> running >> waited) {
      counters.waited[std::stoll(each->path().filename())] = waited;
    }
  }
  process.samples.push_back(std::move(counters));
  while (now - process.samples.front().at > kSpan) {
    process.samples.pop_front();
  }
}

std::chrono::milliseconds ProcessorWaitLog::LongestWait(
    std::size_t instance) const {
  const auto process = m_processes.find(instance);
  if (process == m_processes.end() || process->second.samples.empty()) {
    return {};
  }
  const Counters& first = process->second.samples.front();
  std::int64_t longest = 0;
  for (const auto& [thread, waited] : process->second.samples.back().waited) {
    const auto before = first.waited.find(thread);
    if (before != first.waited.end()) {
      longest = std::max(longest, waited - before->second);
    }
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::nanoseconds(longest));
}

}  // namespace fireflytrestle
