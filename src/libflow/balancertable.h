#ifndef FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
#define FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_

#include <map>
#include <vector>

#include "libbase/clock.h"
#include "libbase/socketaddress.h"
#include "libflow/nodemessage.h"

namespace fireflytrestle {

/// \brief The balancers known to an agent: those that sent it a heartbeat, and
/// those that other balancers announced.
class BalancerTable {
 public:
  /// Records a heartbeat. Returns whether the balancer is new or has restarted.
  bool OnHeartbeat(const SocketAddress& address,
                   const BalancerHeartbeat& heartbeat,
                   TimePoint now);

  /// Adds a balancer that another balancer announced. Returns whether it is
  /// new.
  bool OnIntroduced(const SocketAddress& address, TimePoint now);

  /// Whether any balancer's heartbeat of the last 2 s says that the agent's
  /// zone is out.
  bool IsZoneOut(TimePoint now) const;

  /// Returns up to kMaxNewBalancers balancers that appeared recently, to be
  /// announced to other balancers.
  std::vector<SocketAddress> NewBalancers(TimePoint now) const;

  /// Removes the balancers that have sent no heartbeat for 30 s, and returns
  /// them.
  std::vector<SocketAddress> ExpireSilent(TimePoint now);

  std::vector<SocketAddress> Addresses() const;

 private:
  struct Balancer {
    BalancerHeartbeat heartbeat;
    /// When the present incarnation was first seen.
    TimePoint first_seen;
    TimePoint last_heartbeat;
  };

  std::map<SocketAddress, Balancer> m_balancers;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_BALANCERTABLE_H_
