#ifndef FIREFLYTRESTLE_LIBFLOW_HANDOVERSTORE_H_
#define FIREFLYTRESTLE_LIBFLOW_HANDOVERSTORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// \brief The handovers that a balancer keeps for agents that restart. Soft
/// state, for the next run of an agent only.
class HandoverStore {
 public:
  /// Records a part of the handover of the agent at \p agent. Parts of an
  /// earlier round are ignored.
  void Add(const SocketAddress& agent,
           const FlowHandover& handover,
           TimePoint now);

  /// Records that the agent runs as \p run. The handover is for the next run
  /// only, whether or not that run gets it from here.
  void OnRun(const SocketAddress& agent, Incarnation run);

  /// Returns the parts for the run \p successor of the agent, with the service
  /// in \p service; none if there is no handover of the run before it.
  std::vector<FlowHandover> Take(const SocketAddress& agent,
                                 Incarnation successor,
                                 std::string* service);

  /// Removes the handovers that are older than kRetention.
  void Prune(TimePoint now);

 private:
  /// The platform kills a stopping process after 6 s, and starts it again
  /// within seconds.
  static constexpr std::chrono::seconds kRetention{15};

  struct Handover {
    Incarnation incarnation{};
    std::uint64_t round = 0;
    std::string service;
    /// Without the service, which does not outlive its datagram.
    std::map<std::uint32_t, FlowHandover> parts;
    /// The next run of the agent; 0 before it is known.
    Incarnation successor{};
    TimePoint received{};
  };

  std::map<SocketAddress, Handover> m_handovers;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_HANDOVERSTORE_H_
