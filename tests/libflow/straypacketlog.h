#ifndef FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_
#define FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_

#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "flowsite.h"

namespace fireflytrestle {

/// \brief Records at which upstreams the packets of open flows arrive, and
/// finds flows whose packets reached other upstreams instead of their own.
class StrayPacketLog {
 public:
  /// Attaches itself to \p site, which must outlive it.
  explicit StrayPacketLog(FlowSite* site) : m_site(site) {
    site->on_upstream_packet = [this](const FlowSite::Agent& agent,
                                      const FlowPacket& packet) {
      OnPacket(agent, packet);
    };
  }
  ~StrayPacketLog() { m_site->on_upstream_packet = nullptr; }
  StrayPacketLog(const StrayPacketLog&) = delete;
  StrayPacketLog& operator=(const StrayPacketLog&) = delete;

  /// Returns the largest number of different packets of the flow that reached
  /// other upstreams within kFlowTime in which its own got none.
  std::size_t MostStrayPackets(const FlowTuple& tuple) const {
    const auto position = m_arrivals.find(tuple);
    if (position == m_arrivals.end()) {
      return 0;
    }
    std::size_t most = 0;
    for (const Arrival& first : position->second) {
      most = std::max(most, StrayPacketsFrom(position->second, first.at));
    }
    return most;
  }

  /// Returns the same for the last kFlowTime.
  std::size_t RecentStrayPackets(const FlowTuple& tuple) const {
    const auto position = m_arrivals.find(tuple);
    return position == m_arrivals.end()
               ? 0
               : StrayPacketsFrom(position->second,
                                  m_site->clock.Now() - kFlowTime);
  }

  /// The flows' packets may reach other upstreams instead of their own for less
  /// than this time.
  static constexpr std::chrono::milliseconds kFlowTime{2000};
  /// This many packets in that time are a violation.
  static constexpr std::size_t kMinStrayPackets = 3;

 private:
  struct Arrival {
    TimePoint at;
    /// Number of the caller's packet.
    std::size_t packet = 0;
    bool is_own = false;
  };

  static std::size_t StrayPacketsFrom(const std::vector<Arrival>& arrivals,
                                      TimePoint begin) {
    std::set<std::size_t> strays;
    for (const Arrival& each : arrivals) {
      if (each.at < begin || each.at >= begin + kFlowTime) {
        continue;
      }
      if (each.is_own) {
        return 0;
      }
      strays.insert(each.packet);
    }
    return strays.size();
  }

  void OnPacket(const FlowSite::Agent& agent, const FlowPacket& packet) {
    const FlowTuple tuple{packet.source, packet.destination};
    const FlowSite::Agent* owner = m_site->OwnerOf(tuple);
    if (owner != nullptr) {
      m_arrivals[tuple].push_back(
          {m_site->clock.Now(), m_site->caller_packets, owner == &agent});
    }
  }

  FlowSite* m_site;
  std::map<FlowTuple, std::vector<Arrival>, TupleLess> m_arrivals;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_
