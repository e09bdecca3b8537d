#ifndef FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_
#define FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
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

  /// Returns the largest number of arrivals of the flow's packets at other
  /// upstreams within kFlowTime in which its own got none. A packet that
  /// reaches two other upstreams counts twice.
  std::size_t MostStrayPackets(const FlowTuple& tuple) const {
    const auto position = m_arrivals.find(tuple);
    if (position == m_arrivals.end()) {
      return 0;
    }
    // Of all spans, those that begin at or right after an arrival, or end right
    // before one, contain the most.
    std::size_t most = 0;
    for (const Arrival& each : position->second) {
      for (const TimePoint begin :
           {each.at, each.at + Duration(1), each.at - kFlowTime}) {
        most = std::max(most, StrayPacketsFrom(tuple, begin));
      }
    }
    return most;
  }

  /// Returns the same for the last kFlowTime.
  std::size_t RecentStrayPackets(const FlowTuple& tuple) const {
    return m_arrivals.contains(tuple)
               ? StrayPacketsFrom(tuple, m_site->clock.Now() - kFlowTime)
               : 0;
  }

  /// The flows' packets may reach other upstreams instead of their own for less
  /// than this time.
  static constexpr std::chrono::milliseconds kFlowTime{2000};
  /// This many arrivals in that time are a violation.
  static constexpr std::size_t kMinStrayPackets = 3;

 private:
  struct Arrival {
    TimePoint at;
    bool is_own = false;
  };

  /// \p tuple must have arrivals.
  std::size_t StrayPacketsFrom(const FlowTuple& tuple, TimePoint begin) const {
    const auto opened = m_opened.find(tuple);
    if (opened != m_opened.end() && begin < opened->second) {
      return 0;
    }
    std::size_t strays = 0;
    for (const Arrival& each : m_arrivals.at(tuple)) {
      if (each.at < begin || each.at >= begin + kFlowTime) {
        continue;
      }
      if (each.is_own) {
        return 0;
      }
      ++strays;
    }
    return strays;
  }

  void OnPacket(const FlowSite::Agent& agent, const FlowPacket& packet) {
    const FlowTuple tuple{packet.source, packet.destination};
    const FlowSite::Agent* owner = m_site->OwnerOf(tuple);
    if (owner == nullptr) {
      // This may be the end of the handshake, with which the flow opens.
      m_opened[tuple] = m_site->clock.Now();
      return;
    }
    // Packets that arrive within one step of the site's clock stay in order, as
    // if they took different times.
    m_arrivals[tuple].push_back(
        {m_site->clock.Now() + Duration(++m_count), owner == &agent});
  }

  FlowSite* m_site;
  std::map<FlowTuple, std::vector<Arrival>, TupleLess> m_arrivals;
  std::map<FlowTuple, TimePoint, TupleLess> m_opened;
  std::int64_t m_count = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_LIBFLOW_STRAYPACKETLOG_H_
