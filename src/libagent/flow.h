#ifndef FIREFLYTRESTLE_LIBAGENT_FLOW_H_
#define FIREFLYTRESTLE_LIBAGENT_FLOW_H_

#include <memory>
#include <vector>

#include "libagent/activerequest.h"
#include "libagent/flowhandle.h"
#include "libagent/requestledger.h"
#include "libagent/upstreamconnection.h"
#include "libbase/socketaddress.h"
#include "libwire/callermessage.h"

namespace fireflytrestle {

/// \brief An open flow: the association of a caller with the upstream.
struct Flow {
  FlowHandle handle;
  /// A packet with the token of the flow has arrived.
  bool confirmed = false;
  /// The flow is queued for a connection to the upstream.
  bool waits_for_connection = false;
  FlowToken token{};
  SocketAddress caller;
  /// Balancer that forwarded the last packet of the flow; responses are sent to
  /// it.
  SocketAddress balancer;
  TimePoint opened;
  TimePoint last_packet;
  RequestLedger ledger;
  std::vector<std::unique_ptr<ActiveRequest>> requests;
  std::unique_ptr<UpstreamConnection> connection;

  ActiveRequest* FindSequence(std::uint32_t sequence) const;
  ActiveRequest* FindNumber(std::uint64_t number) const;
  /// Whether a request was sent on the connection and awaits a response.
  bool ExpectsResponse() const;
  /// Whether a request is waiting for a connection or to be sent on it.
  bool HasAssigned() const;
};

// The limit is 512 bytes for an idle flow or a flow with one open feed. About
// 100 of them are used by the index entries and heap overhead.
static_assert(sizeof(Flow) + sizeof(ActiveRequest) <= 412);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_FLOW_H_
