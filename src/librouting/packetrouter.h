#ifndef FIREFLYTRESTLE_LIBROUTING_PACKETROUTER_H_
#define FIREFLYTRESTLE_LIBROUTING_PACKETROUTER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <span>

#include "libbase/clock.h"
#include "librouting/dropreason.h"
#include "librouting/routedecision.h"
#include "librouting/routerstatistics.h"
#include "libwire/flowidcodec.h"

namespace fireflytrestle {

struct RoutingView;

/// \brief Decides for one traffic thread of a balancer where each datagram is
/// sent. Keeps no per-flow state: the address of the agent is part of the flow
/// token.
class PacketRouter {
 public:
  PacketRouter(FlowIdCodec codec, std::uint64_t seed, TimePoint now);
  ~PacketRouter();

  PacketRouter(const PacketRouter&) = delete;
  PacketRouter& operator=(const PacketRouter&) = delete;

  /// Replaces the view unless \p view has an older revision. Health and load of
  /// targets that are in both views are kept.
  void InstallView(std::shared_ptr<const RoutingView> view, TimePoint now);

  /// Sets the time until which datagrams may be routed by the current view; see
  /// ViewLease. Without a valid lease every datagram is dropped.
  void SetLease(TimePoint until);

  /// Routes a datagram from the fabric: an envelope of kind CALLER. Does not
  /// allocate memory or take locks for packets of established flows.
  RouteDecision OnFabricDatagram(std::span<const std::uint8_t> datagram,
                                 TimePoint now);

  /// Routes a datagram from an agent: an envelope of kind RETURN or BOUNCE.
  RouteDecision OnAgentDatagram(std::span<const std::uint8_t> datagram,
                                TimePoint now);

  /// Number of datagrams dropped for each DropReason.
  const std::array<std::uint64_t, kDropReasonCount>& drops() const;

  const RouterStatistics& statistics() const;

  /// Returns a copy of the state of all targets and services, sorted by id.
  RouterSnapshot Snapshot(TimePoint now) const;

 private:
  class Private;
  std::unique_ptr<Private> m_private;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBROUTING_PACKETROUTER_H_
