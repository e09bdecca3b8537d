#ifndef FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_

#include <map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// \brief The balancers that an agent knows: those that sent a heartbeat, and
/// those that others named.
class BalancerTable {
 public:
  /// Returns whether the balancer is new or has restarted.
  bool OnHeartbeat(const SocketAddress& address,
                   const BalancerHeartbeat& heartbeat,
                   TimePoint now);

  /// Takes a balancer that another one named. Returns whether it is new.
  bool OnIntroduced(const SocketAddress& address, TimePoint now);

  /// Whether a balancer that reports says that the agent's zone is out.
  bool IsZoneOut(TimePoint now) const;

  /// Some of the balancers that appeared a moment ago, to tell others of.
  std::vector<SocketAddress> NewBalancers(TimePoint now) const;

  /// Forgets balancers that have been silent for long, and returns them.
  std::vector<SocketAddress> ExpireSilent(TimePoint now);

  std::vector<SocketAddress> Addresses() const;

 private:
  struct Balancer {
    BalancerHeartbeat heartbeat;
    /// When its present incarnation was first heard of.
    TimePoint appeared;
    TimePoint heard;
  };

  std::map<SocketAddress, Balancer> m_balancers;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
